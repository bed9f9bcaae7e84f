/**
 * Demand and room of services, from what hubs know without further reports: the requests that entries count by service, and
 * the slots, outcomes and requests in flight of targets.
 */
import { RateCounter } from '@marigoldbank/routing/load/RateCounter';
import type { DemandRate, IServiceLoad, Room } from '@marigoldbank/routing/load/types';
import { FAILING_THRESHOLD } from '@marigoldbank/routing/TargetSelector';
import type { Evidence } from '../sync/EvidenceBuffer.js';
import type { HubTargets } from './HubTargets.js';

/** Weight of a new sample of the busy slots, taken every 200 ms, so that they are averaged over about the window of the rates. */
const BUSY_WEIGHT = 0.1;

/** With fewer answers a second, durations vary too much by chance. */
const MIN_ANSWERS_PER_SECOND = 10;

/** A data centre does not count as slower or faster than the whole service by more than this factor. */
const MAX_PACE = 4;

export interface PlacementLoadContext {
  readonly targets: Pick<HubTargets, 'describeUsable' | 'beliefs'>;
  /** Requests of all entries in flight at a target. */
  readonly inFlight: (target: string) => number;
}

/** Targets of a service in one data centre. */
interface Site {
  readonly service: string;
  readonly dataCentre: string;
  readonly answers: RateCounter;
  /** Mean number of slots in use. */
  busy: number;
  /** Slots of the targets that do not most likely fail. */
  slots: number;
  inFlight: number;
}

interface KnownTarget {
  readonly site: Site;
  readonly slots: number;
}

function keyOf(service: string, dataCentre: string): string {
  return `${service}\n${dataCentre}`;
}

export class PlacementLoad implements IServiceLoad {
  private readonly demand = new Map<string, RateCounter>();

  private readonly sites = new Map<string, Site>();

  private targets: ReadonlyMap<string, KnownTarget> = new Map();

  /** Last known duration of a request in ms, by service. */
  private readonly durations = new Map<string, number>();

  public constructor(private readonly ctx: PlacementLoadContext) {}

  public get services(): readonly string[] {
    return [...new Set([...this.sites.values()].map(({ service }) => service))];
  }

  /** Counts requests that entries of a data centre sent. Those that are refused there are not known. */
  public addDemand(service: string, dataCentre: string, requests: number, now: number): void {
    const key = keyOf(service, dataCentre);
    const counter = this.demand.get(key) ?? new RateCounter();
    this.demand.set(key, counter);
    counter.add(requests, now);
  }

  /** Counts answers. A slow answer or a rejection is no evidence of what a target can serve. */
  public observe({ id, succeeded }: Evidence, now: number): void {
    if (succeeded > 0) this.targets.get(id)?.site.answers.add(succeeded, now);
  }

  /** Service and data centre of a target, undefined if it is not known. */
  public siteOfTarget(target: string): Pick<Site, 'service' | 'dataCentre'> | undefined {
    return this.targets.get(target)?.site;
  }

  /** Samples the slots in use. Call every 200 ms. */
  public sample(): void {
    const busy = new Map<Site, number>();
    this.targets.forEach(({ site, slots }, id) =>
      busy.set(site, (busy.get(site) ?? 0) + Math.min(slots, this.ctx.inFlight(id))),
    );
    this.sites.forEach((site) =>
      Object.assign(site, {
        busy: site.busy + BUSY_WEIGHT * ((busy.get(site) ?? 0) - site.busy),
      }),
    );
  }

  /** Takes over which targets there are and which of them fail. Call before each decision. */
  public refresh(now: number): void {
    const failing = new Map(
      this.ctx.targets.beliefs(now).map(({ id, failingProbability }) => [id, failingProbability]),
    );
    const described = this.ctx.targets.describeUsable();
    this.sites.forEach((site) => Object.assign(site, { slots: 0, inFlight: 0 }));
    this.targets = new Map(
      described.map(({ id, service = '', dataCentre = '', slots = 0 }) => {
        const site = this.siteOf(service, dataCentre);
        site.inFlight += this.ctx.inFlight(id);
        if ((failing.get(id) ?? 0) < FAILING_THRESHOLD) site.slots += slots;
        return [id, { site, slots }];
      }),
    );
    const used = new Set([...this.targets.values()].map(({ site }) => site));
    [...this.sites]
      .filter(([, site]) => !used.has(site))
      .forEach(([key]) => this.sites.delete(key));
  }

  public demandOf(service: string, now: number): readonly DemandRate[] {
    return [...this.demand].flatMap(([key, counter]) => {
      const [name, dataCentre = ''] = key.split('\n');
      const perSecond = counter.perSecond(now);
      return name === service && perSecond > 0
        ? [{ service, dataCentre, rank: 0, team: '', perSecond }]
        : [];
    });
  }

  /** Nothing while no duration of the service is known. */
  public roomOf(service: string, now: number): readonly Room[] {
    const sites = [...this.sites.values()].filter((site) => site.service === service);
    const usual = this.durationOf(service, sites, now);
    if (usual === undefined) return [];
    return sites.map((site) => {
      const own = PlacementLoad.measuredMs([site], now) ?? usual;
      const durationMs = Math.min(MAX_PACE * usual, Math.max(usual / MAX_PACE, own));
      const { dataCentre, slots, inFlight } = site;
      return { dataCentre, perSecond: (slots / durationMs) * 1_000, slots, inFlight };
    });
  }

  private siteOf(service: string, dataCentre: string): Site {
    const key = keyOf(service, dataCentre);
    const created = { service, dataCentre, answers: new RateCounter(), busy: 0, slots: 0 };
    const site = this.sites.get(key) ?? { ...created, inFlight: 0 };
    this.sites.set(key, site);
    return site;
  }

  private durationOf(service: string, sites: readonly Site[], now: number): number | undefined {
    const measured = PlacementLoad.measuredMs(sites, now);
    if (measured !== undefined) this.durations.set(service, measured);
    return this.durations.get(service);
  }

  /** Mean time in a slot by Little's law, undefined with too few answers. */
  private static measuredMs(sites: readonly Site[], now: number): number | undefined {
    const answers = sites.reduce((sum, site) => sum + site.answers.perSecond(now), 0);
    const busy = sites.reduce((sum, site) => sum + site.busy, 0);
    return answers < MIN_ANSWERS_PER_SECOND || busy === 0 ? undefined : (busy / answers) * 1_000;
  }
}
