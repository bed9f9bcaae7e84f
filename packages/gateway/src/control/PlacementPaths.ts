/** What a hub knows of the ways between data centres: latency, failed attempts, and whose demand it hears. */
import type { EntryReport, HubRelay } from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import { PathFailures } from '@marigoldbank/routing/load/PathFailures';
import type { CrossingPath } from '@marigoldbank/routing/load/planCrossings';
import { trueSince } from '../sync/timeEcho.js';
import type { EntryRegistry } from './EntryRegistry.js';
import { PEER_TIMEOUT_MS, type PeerHub } from './PeerHub.js';

/** Factor by which the lowest known round trip grows with each new one, so that a way that has become longer is noticed. */
const ROUND_TRIP_GROWTH = 1.02;

export class PlacementPaths {
  private readonly failures = new PathFailures();

  /** Lowest recent round trip to the hubs of a data centre. */
  private readonly roundTrips = new Map<string, number>();

  /** Monotonic ms of the last message of a hub, by data centre. */
  private readonly heardAt = new Map<string, number>();

  public constructor(
    private readonly ownDataCentre: string,
    private readonly entries: Pick<EntryRegistry, 'connectedShare'>,
  ) {}

  /** Counts the attempts that an entry reports. */
  public noteReport(
    from: string,
    { evidence }: Pick<EntryReport, 'evidence'>,
    dataCentreOf: (target: string) => string | undefined,
    now: number,
  ): void {
    const counts = new Map<string, { attempts: number; failures: number }>();
    evidence.forEach(({ id, succeeded, failed, suspect }) => {
      const to = dataCentreOf(id);
      if (to === undefined) return;
      const known = counts.get(to) ?? { attempts: 0, failures: 0 };
      known.attempts += succeeded + failed + suspect;
      known.failures += failed + suspect;
      counts.set(to, known);
    });
    counts.forEach(({ attempts, failures }, to) =>
      this.failures.add(from, to, attempts, failures, now),
    );
  }

  public noteRelay({ hubsEcho }: Pick<HubRelay, 'hubsEcho'>, peer: PeerHub, now: number): void {
    const { dataCentre } = peer;
    this.heardAt.set(dataCentre, now);
    const trueAt = hubsEcho === undefined ? undefined : trueSince(hubsEcho, now);
    if (trueAt === undefined) return;
    const known = this.roundTrips.get(dataCentre) ?? Infinity;
    this.roundTrips.set(dataCentre, Math.min(now - trueAt, known * ROUND_TRIP_GROWTH));
  }

  /** Latency between two other data centres is not known, and taken for that of the farther one. */
  public pathOf(from: string, to: string, now: number): CrossingPath {
    const roundTripMs = [from, to]
      .filter((dataCentre) => dataCentre !== this.ownDataCentre)
      .reduce((most, dataCentre) => Math.max(most, this.roundTrips.get(dataCentre) ?? 0), 0);
    return { oneWayMs: roundTripMs / 2, failedShare: this.failures.excess(from, to, now) };
  }

  /** Share of the entries of a data centre whose demand arrives here. 0 if all of its hubs have become silent. */
  public heardShare(dataCentre: string, now: number): number {
    const heardAt = this.heardAt.get(dataCentre);
    const isSilent = heardAt !== undefined && now - heardAt > PEER_TIMEOUT_MS;
    if (isSilent && dataCentre !== this.ownDataCentre) return 0;
    return this.entries.connectedShare(dataCentre, now);
  }
}
