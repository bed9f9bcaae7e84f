/** What the members and clients of a simulated group have seen, and the contradictions in it. */
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

  /** Highest index that some client knows to be committed. */
  private knownIndex = 0;

  public get acknowledgedCount(): number {
    return this.acknowledged.size;
  }

  /** Highest index that a client knows to be committed; a later read must not be older. */
  public get latestKnown(): number {
    return this.knownIndex;
  }

  /** Election safety: one leader for each term. */
  public recordLeader(term: number, incarnation: string): void {
    this.expectSame(this.leaders, term, incarnation, `term ${term} has two leaders`);
  }

  /** A vote given under the identity that the candidate addressed. */
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

  /** A proposal asked when `knownAtStart` was known was acknowledged at `index`. */
  public recordWrite(command: string, index: number, knownAtStart: number): void {
    if (index <= knownAtStart) this.violations.push(`${command} is ordered before an older answer`);
    if (this.applied.get(index) !== command) this.violations.push(`${command} is not at ${index}`);
    this.acknowledged.set(command, index);
    this.knownIndex = Math.max(this.knownIndex, index);
  }

  /** A confirmed read asked when `knownAtStart` was known saw the state after `index`. */
  public recordRead(index: number, knownAtStart: number): void {
    if (index < knownAtStart) {
      this.violations.push(`a read saw ${index} although ${knownAtStart} was known before`);
    }
    this.knownIndex = Math.max(this.knownIndex, index);
  }

  /** At the end a member must hold all acknowledged commands in the committed order. */
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
