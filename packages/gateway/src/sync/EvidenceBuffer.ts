/** Buffers request outcomes per target until they are sent. */

export interface Evidence {
  readonly id: string;
  readonly succeeded: number;
  readonly failed: number;
  /** Outcomes that are a weak sign of a failing target, such as slow responses. */
  readonly suspect: number;
  /** Requests in flight, as counted by the sender. */
  readonly inFlight: number;
  /** Durations of the answered requests in thousandths of the expected ones, added up. */
  readonly durationPermille?: number;
  /** Requests that the target rejected without running them. */
  readonly rejected?: number;
}

/** What an outcome shows about the pace of a target. */
export type PaceDetail = Pick<Evidence, 'durationPermille' | 'rejected'>;

interface Counts {
  succeeded: number;
  failed: number;
  suspect: number;
  durationPermille?: number;
  rejected?: number;
}

export class EvidenceBuffer {
  private readonly counts = new Map<string, Counts>();

  public get isEmpty(): boolean {
    return this.counts.size === 0;
  }

  /** Adds outcomes. All counts are 0 if only the number of requests in flight has changed. */
  public add(id: string, succeeded: number, failed: number, suspect: number): void {
    const known = this.counts.get(id);
    if (known === undefined) {
      this.counts.set(id, { succeeded, failed, suspect });
      return;
    }
    known.succeeded += succeeded;
    known.failed += failed;
    known.suspect += suspect;
  }

  /** Adds what an outcome that was added shows about the pace of its target. */
  public addPace(id: string, { durationPermille = 0, rejected = 0 }: PaceDetail): void {
    const counts = this.counts.get(id);
    if (counts === undefined) return;
    counts.durationPermille = (counts.durationPermille ?? 0) + durationPermille;
    counts.rejected = (counts.rejected ?? 0) + rejected;
  }

  /** Empties the buffer. The number of requests in flight is read at this point, not when outcomes are added. */
  public take(inFlightOf: (id: string) => number): Evidence[] {
    const taken = [...this.counts].map(([id, counts]) => ({
      id,
      ...counts,
      inFlight: inFlightOf(id),
    }));
    this.counts.clear();
    return taken;
  }
}
