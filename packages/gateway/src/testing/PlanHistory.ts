/** Changes and reads of an operator, and what is wrong with the answers. */
import type { OperatorRun } from './startOperatorRun.js';

export class PlanHistory {
  public readonly violations: string[] = [];

  private readonly sent = new Set<number>();

  private newest: number | undefined;

  public constructor(private readonly run: OperatorRun) {}

  /** Sends a change until it is answered or given up. */
  public async put(version: number): Promise<void> {
    this.sent.add(version);
    const { reply } = await this.run.put(version);
    if (reply?.status === 200) this.newest = Math.max(version, this.newest ?? version);
  }

  /** Reads the plan. It is never older than what was acknowledged before. `isAnswerOwed`: no answer is wrong as well. */
  public async read(isAnswerOwed = false): Promise<void> {
    const { newest } = this;
    const { reply } = await this.run.read();
    if (reply?.status !== 200) {
      if (isAnswerOwed) this.violations.push(`no answer, ${newest} was acknowledged`);
      return;
    }
    const version = Number(reply.body);
    if (newest !== undefined && version < newest) {
      this.violations.push(`${version} was read, ${newest} was acknowledged before`);
    }
    if (!this.sent.has(version)) this.violations.push(`${version} was read and never sent`);
  }

  public get hasAcknowledged(): boolean {
    return this.newest !== undefined;
  }
}
