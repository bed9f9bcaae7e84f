/** Demand and room of services, as known to a hub. */

/** What the callers of one team offered to a service with one rank, at the entries of one data centre. */
export interface DemandSample {
  readonly service: string;
  /** Data centre of the entries. */
  readonly dataCentre: string;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Empty for requests without a team. */
  readonly team: string;
  /** Number of requests. */
  readonly offered: number;
  /** Number of them that were refused for lack of room. Their callers may return. */
  readonly refused: number;
}

/** Demand by the same keys, in requests a second. */
export interface DemandRate extends Omit<DemandSample, 'offered' | 'refused'> {
  readonly perSecond: number;
}

/** What the targets of a service in one data centre can do. */
export interface Room {
  readonly dataCentre: string;
  /** Requests a second that they complete when all usable slots are in use. */
  readonly perSecond: number;
  /** Usable slots of all targets. */
  readonly slots: number;
  /** Requests of all entries in flight. */
  readonly inFlight: number;
}

/** Demand and room of all services. Times are monotonic ms. */
export interface IServiceLoad {
  readonly services: readonly string[];
  /** Demand without the callers that return after a refusal, as far as that can be estimated. */
  demandOf(service: string, now: number): readonly DemandRate[];
  roomOf(service: string, now: number): readonly Room[];
}
