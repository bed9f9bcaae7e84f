/** Polls the coordinators of all services, and answers polls for the services that this entry coordinates. */
import type { Clock } from '@marigoldbank/base/clock';
import { DisposableStore } from '@marigoldbank/base/lifecycle';
import type {
  Announcement,
  CoordinateRequest,
  CoordinateResponse,
  ICoordinator,
  ITargetPool,
} from '@marigoldbank/ejection';
import type { EntryRecord } from '@marigoldbank/fleet/config';
import type { Blackboard, ConfigSection } from '../Blackboard.js';
import type { PeerClient } from '../transport/PeerClient.js';
import { CoordinatorRanking } from './CoordinatorRanking.js';
import { ServicePoller } from './ServicePoller.js';

/** Within this time every target has announced itself twice, so that a new coordinator knows all targets when it answers. */
const WARM_UP_MS = 1_000;

/** Announcements received within this time are forwarded together. */
const FORWARD_BATCH_MS = 50;

export interface CoordinationControllerOptions {
  readonly clock: Clock;
  readonly self: string;
  readonly blackboard: Blackboard;
  readonly coordinator: ICoordinator;
  readonly client: PeerClient;
  /** The target pool of a service; created on first use. */
  readonly poolOf: (service: string) => ITargetPool;
}

export class CoordinationController extends DisposableStore {
  private readonly ranking = new CoordinatorRanking();

  private readonly pollers = new Map<string, ServicePoller>();

  /** Time at which this entry became coordinator of a service (monotonic ms). */
  private readonly coordinatorSince = new Map<string, number>();

  private pendingAnnouncements: Announcement[] = [];

  public constructor(private readonly options: CoordinationControllerOptions) {
    super();
    this.add(options.blackboard.config.onDidChange((section) => this.applyConfig(section)));
    this.applyConfig(options.blackboard.config.value);
  }

  /** Handles announcements that upstreams sent to this entry: forwards them to the coordinators in batches. */
  public receive(announcements: readonly Announcement[]): void {
    if (this.pendingAnnouncements.length === 0) {
      this.options.clock.setTimeout(() => this.forwardPending(), FORWARD_BATCH_MS);
    }
    this.pendingAnnouncements.push(...announcements);
  }

  /** Handles announcements that another entry forwarded to this one as coordinator. */
  public receiveForwarded(announcements: readonly Announcement[]): void {
    this.options.coordinator.handleAnnouncements(announcements);
  }

  /** Answers a poll as coordinator. Throws if this entry does not coordinate the service or is still warming up. */
  public handleCoordinate(req: CoordinateRequest): CoordinateResponse {
    const since = this.coordinatorSince.get(req.service);
    if (since === undefined || this.options.clock.now() - since < WARM_UP_MS) {
      throw new Error(`not ready to coordinate service ${req.service}`);
    }
    return this.options.coordinator.handleCoordinate(req);
  }

  public override dispose(): void {
    this.pollers.forEach((poller) => poller.dispose());
    this.pollers.clear();
    super.dispose();
  }

  private applyConfig(section: ConfigSection | undefined): void {
    if (section === undefined) return;
    const { services } = section.config.lists;
    this.options.coordinator.setServices(
      Object.entries(services).map(([service, settings]) => ({ service, ...settings })),
    );
    this.updateCoordinatedServices(section, Object.keys(services));
    Object.keys(services)
      .filter((service) => !this.pollers.has(service))
      .forEach((service) => this.pollers.set(service, this.startPoller(service)));
    [...this.pollers.keys()]
      .filter((service) => !Object.hasOwn(services, service))
      .forEach((service) => {
        this.pollers.get(service)?.dispose();
        this.pollers.delete(service);
      });
  }

  private updateCoordinatedServices(section: ConfigSection, services: readonly string[]): void {
    const coordinated = services.filter((service) =>
      this.ranking
        .coordinatorsOf(service, section.config.view)
        .some((entry) => entry.vm === this.options.self),
    );
    [...this.coordinatorSince.keys()]
      .filter((service) => !coordinated.includes(service))
      .forEach((service) => this.coordinatorSince.delete(service));
    coordinated
      .filter((service) => !this.coordinatorSince.has(service))
      .forEach((service) => this.coordinatorSince.set(service, this.options.clock.now()));
  }

  private startPoller(service: string): ServicePoller {
    const { clock, self, blackboard, poolOf } = this.options;
    return new ServicePoller({
      clock,
      service,
      self,
      pool: poolOf(service),
      coordinators: () => this.coordinatorsOf(service),
      revision: () => blackboard.config.value?.config.revision ?? 0,
      coordinate: (to, req) => this.coordinate(to, req),
    });
  }

  private coordinatorsOf(service: string): readonly EntryRecord[] {
    const view = this.options.blackboard.config.value?.config.view;
    return view === undefined ? [] : this.ranking.coordinatorsOf(service, view);
  }

  private async coordinate(to: EntryRecord, req: CoordinateRequest): Promise<CoordinateResponse> {
    if (to.vm === this.options.self) return this.handleCoordinate(req);
    return this.options.client.coordinate(to.internalAddress, req);
  }

  private forwardPending(): void {
    const announcements = this.pendingAnnouncements;
    this.pendingAnnouncements = [];
    const byCoordinator = new Map<EntryRecord, Announcement[]>();
    announcements.forEach((announcement) => {
      this.coordinatorsOf(announcement.service).forEach((entry) => {
        const batch = byCoordinator.get(entry) ?? [];
        batch.push({ ...announcement, ageMs: announcement.ageMs + FORWARD_BATCH_MS });
        byCoordinator.set(entry, batch);
      });
    });
    byCoordinator.forEach((batch, entry) => this.send(entry, batch));
  }

  private send(entry: EntryRecord, batch: readonly Announcement[]): void {
    const { self, client } = this.options;
    if (entry.vm === self) {
      this.receiveForwarded(batch);
      return;
    }
    // Lost announcements need no retry: the upstream sends its next one within 500 ms.
    client.announce(entry.internalAddress, self, batch).catch(() => undefined);
  }
}
