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

  /** Time until the outcomes that wait are due, undefined if there are none. */
  public get heldForMs(): number | undefined {
    return this.held.isEmpty ? undefined : Math.max(0, this.heldUntil - this.now());
  }

  /** Adds outcomes. Returns whether they wait. */
  public add(
    { id, succeeded, failed, suspect }: Pick<Evidence, 'id' | 'succeeded' | 'failed' | 'suspect'>,
    canWait: boolean,
  ): boolean {
    const isHeld = canWait && failed === 0;
    if (isHeld && this.held.isEmpty) this.heldUntil = this.now() + HELD_MS;
    (isHeld ? this.held : this.prompt).add(id, succeeded, failed, suspect);
    if (isHeld) heldBackOutcomesTotal.inc();
    return isHeld;
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
