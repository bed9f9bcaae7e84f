/**
 * Outcomes and load on the way to another hub. What that hub needs at once is sent with the next batch. The rest is merged for
 * a longer time: its entries do not use these targets as long as requests stay in their data centre.
 */
import { heldBackOutcomesTotal } from '../metrics.js';
import { EvidenceBuffer, type Evidence } from '../sync/EvidenceBuffer.js';

/** Outcomes that can wait are sent this long after the first one. */
const HELD_MS = 400;

export class RelayEvidence {
  private readonly prompt = new EvidenceBuffer();

  private readonly held = new EvidenceBuffer();

  private heldUntil = Infinity;

  /** Times are monotonic ms. */
  public constructor(private readonly now: () => number) {}

  /** Adds outcomes. Returns the time until those that wait are due, undefined if these do not wait. */
  public add(
    { id, succeeded, failed, suspect }: Pick<Evidence, 'id' | 'succeeded' | 'failed' | 'suspect'>,
    canWait: boolean,
  ): number | undefined {
    if (!canWait || failed > 0) {
      this.prompt.add(id, succeeded, failed, suspect);
      return undefined;
    }
    if (this.held.isEmpty) this.heldUntil = this.now() + HELD_MS;
    this.held.add(id, succeeded, failed, suspect);
    heldBackOutcomesTotal.inc();
    return Math.max(0, this.heldUntil - this.now());
  }

  /** Takes what is to be sent now. */
  public take(inFlightOf: (id: string) => number): Evidence[] {
    const prompt = this.prompt.take(inFlightOf);
    if (this.now() < this.heldUntil) return prompt;
    this.heldUntil = Infinity;
    return [...prompt, ...this.held.take(inFlightOf)];
  }

  public clear(): void {
    this.heldUntil = -Infinity;
    this.take(() => 0);
  }
}
