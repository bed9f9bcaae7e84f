/** Coordinator of all services. */
import type { Clock } from '@marigoldbank/base/clock';
import { PROFILES, type ProfileParameters } from './profiles.js';
import { ServiceCoordinator } from './ServiceCoordinator.js';
import type {
  Announcement,
  CoordinateRequest,
  CoordinateResponse,
  ICoordinator,
  ServiceSettings,
} from './types.js';

export interface CoordinatorOptions {
  readonly clock: Clock;
  /** Overrides of the profiles' parameters, for experiments. */
  readonly parameters?: Partial<ProfileParameters>;
}

const UNKNOWN_SERVICE: CoordinateResponse = {
  targets: [],
  suspectedReporters: [],
  quarantined: [],
  suspectedFingerprints: [],
};

/** Keeps one `ServiceCoordinator` per service. Reads the clock but sets no timers: decides while it handles a poll. */
export class Coordinator implements ICoordinator {
  private readonly services = new Map<string, ServiceCoordinator>();

  public constructor(private readonly options: CoordinatorOptions) {}

  /** Sets the services. Those no longer listed are dropped; the others keep their evidence. */
  public setServices(services: readonly ServiceSettings[]): void {
    const listed = new Set(services.map(({ service }) => service));
    [...this.services.keys()]
      .filter((service) => !listed.has(service))
      .forEach((service) => this.services.delete(service));
    services.forEach((settings) => this.setService(settings));
  }

  /** Adopts announcements; those of unknown services are dropped. */
  public handleAnnouncements(announcements: readonly Announcement[]): void {
    const now = this.options.clock.now();
    announcements.forEach((announcement) => {
      this.services.get(announcement.service)?.handleAnnouncement(announcement, now);
    });
  }

  /** Merges an entry's digest and returns the decisions. The answer for an unknown service is empty. */
  public handleCoordinate(req: CoordinateRequest): CoordinateResponse {
    const service = this.services.get(req.service);
    return service?.handleCoordinate(req, this.options.clock.now()) ?? UNKNOWN_SERVICE;
  }

  private setService({ service, profile, floor }: ServiceSettings): void {
    const parameters = { ...PROFILES[profile], ...this.options.parameters, floor };
    const known = this.services.get(service);
    if (known === undefined) this.services.set(service, new ServiceCoordinator(parameters));
    else known.setParameters(parameters);
  }
}
