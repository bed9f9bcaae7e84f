/** The log of one control VM as far as it tells what is stored. */
import type {
  IReplicatedLog,
  LogEntry,
  LogStatus,
  Member,
  StoredLog,
} from '@marigoldbank/replicated-log';
import { encodeCommand, type CommandInit } from '../control/commands.js';

export function makeMember(address: string): Member {
  return { vm: address.split(':')[0]!, incarnation: `disk-${address}`, address };
}

export class FakeStoredLog implements Pick<IReplicatedLog, 'status' | 'storedAfter'> {
  public commitIndex = 0;

  private readonly entries: LogEntry[] = [];

  public constructor(
    private readonly self: Member = makeMember('10.0.0.1:1'),
    private readonly voters: readonly Member[] = [self],
    private readonly term = 1,
  ) {}

  /** Stores a command without committing it. */
  public store(command: CommandInit): void {
    const index = this.entries.length + 1;
    this.entries.push({ index, term: this.term, kind: 'command', data: encodeCommand(command) });
  }

  public status(): LogStatus {
    const { self, voters, commitIndex, term } = this;
    return {
      self,
      role: 'follower',
      term,
      commitIndex,
      lastIndex: this.entries.length,
      leader: undefined,
      membership: { voters, learners: [] },
      progress: [],
    };
  }

  public storedAfter(index: number): StoredLog {
    const { term } = this;
    const lastIndex = this.entries.length;
    return { lastTerm: term, lastIndex, entries: this.entries.slice(index) };
  }
}
