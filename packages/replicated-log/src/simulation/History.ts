/** Observations of the members and clients of a simulated group, and the safety violations found in them. */
import type { LogEntry, RequestVoteRequest } from '../types.js';

function textOf(data: Uint8Array): string {
  return Buffer.from(data).toString();
}

/** Records observations and compares each one with all earlier ones. */
export class History {
  public readonly violations: string[] = [];

  private readonly leaders = new Map<number, string>();

  private readonly votes = new Map<string, string>();

  private readonly applied = new Map<number, string>();

  private readonly stored = new Map<string, string>();

  private readonly acknowledged = new Map<string, number>();

  private knownIndex = 0;

  private newest: { readonly command: string; readonly index: number } | undefined;

  public get acknowledgedCount(): number {
    return this.acknowledged.size;
  }

  /** Highest index that a client knows to be committed; a later read must not be older. */
  public get knownCommitIndex(): number {
    return this.knownIndex;
  }

  /** The acknowledged command with the highest index. */
  public get newestCommand(): string | undefined {
    return this.newest?.command;
  }

  /** Election safety: one leader for each term. */
  public recordLeader(term: number, incarnation: string): void {
    this.expectSame(this.leaders, term, incarnation, `term ${term} has two leaders`);
  }

  /** Election safety: one vote in each term for each incarnation that a candidate addressed. */
  public recordVote(req: RequestVoteRequest): void {
    const key = `${req.toIncarnation} in term ${req.term}`;
    this.expectSame(this.votes, key, req.candidate.incarnation, `${key} voted twice`);
  }

  /** State machine safety: a committed command never changes. */
  public recordApplied(index: number, data: Uint8Array): void {
    this.expectSame(this.applied, index, textOf(data), `two commands committed at ${index}`);
  }

  /** Log matching: the same index and term mean the same entry after the same previous entry. */
  public recordStored(entries: readonly LogEntry[]): void {
    entries.forEach((entry, i) => {
      const key = `${entry.index}/${entry.term}`;
      const content = `${entry.kind} ${textOf(entry.data)}`;
      this.expectSame(this.stored, key, content, `entries ${key} differ`);
      const previous = entries[i - 1];
      if (previous === undefined) return;
      const message = `different entries before ${key}`;
      this.expectSame(this.stored, `before ${key}`, `${previous.term}`, message);
    });
  }

  /** Records a command acknowledged at `index`; `knownAtStart` was known to be committed when it was proposed. */
  public recordWrite(command: string, index: number, knownAtStart: number): void {
    if (index <= knownAtStart) this.violations.push(`${command} is ordered before an older answer`);
    if (this.applied.get(index) !== command) this.violations.push(`${command} is not at ${index}`);
    this.acknowledged.set(command, index);
    if (index > (this.newest?.index ?? 0)) this.newest = { command, index };
    this.knownIndex = Math.max(this.knownIndex, index);
  }

  /** Records a confirmed read at `index`; `knownAtStart` was known to be committed when it was requested. */
  public recordRead(index: number, knownAtStart: number): void {
    if (index < knownAtStart) {
      this.violations.push(`a read saw ${index} although ${knownAtStart} was known before`);
    }
    this.knownIndex = Math.max(this.knownIndex, index);
  }

  /** The state after a confirmed read must contain the newest command acknowledged before the request. */
  public checkReadState(commands: readonly string[], newest: string | undefined): void {
    if (newest !== undefined && !commands.includes(newest)) {
      this.violations.push(`a read saw a state without ${newest}`);
    }
  }

  /** At the end each member must have applied every acknowledged command exactly once. */
  public checkComplete(commands: readonly string[]): void {
    const positions = new Map(commands.map((command, i) => [command, i]));
    if (positions.size !== commands.length) this.violations.push('a command is applied twice');
    const missing = [...this.acknowledged.keys()].filter((command) => !positions.has(command));
    if (missing.length > 0) this.violations.push(`lost: ${missing.slice(0, 3).join(', ')}`);
  }

  private expectSame<K>(seen: Map<K, string>, key: K, value: string, message: string): void {
    const former = seen.get(key) ?? value;
    if (former !== value) this.violations.push(message);
    seen.set(key, value);
  }
}
