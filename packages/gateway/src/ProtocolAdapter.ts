/** Interface between the gateway and the HTTP protocol of one deployment: callers, upstreams and operators. */
import type { RoutingPlan } from '@marigoldbank/routing/plan';
import type { Announcement } from './announcement.js';

/** Header names in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  /** Time until the caller's deadline in ms. The upstream is sent what is left of it by then. */
  readonly deadlineMs: string;
  /** Set by an upstream on its responses; those of another server at the same address lack it. */
  readonly seal: string;
  /** Team that owns the caller's key, sent to the upstream. */
  readonly team: string;
  /** Id of the upstream that must serve the request. */
  readonly expectedTarget: string;
  /** Set by an upstream on responses to requests that it did not execute. */
  readonly notRun: string;
  /** Set by an upstream that limits the requests a second that it takes from all entries together, a decimal number. */
  readonly rateLimit: string;
  /** Set by an upstream on all its responses once it is about to end. */
  readonly leaving: string;
  /** API key of the caller. */
  readonly key: string;
}

/** A request to the HTTP interface of a control VM. */
export type ControlCall =
  | { readonly kind: 'announce'; readonly id: string }
  | { readonly kind: 'leave'; readonly id: string }
  | { readonly kind: 'putPlan' }
  | { readonly kind: 'getPlan' }
  | { readonly kind: 'startEvacuation'; readonly dataCentre: string }
  | { readonly kind: 'endEvacuation'; readonly dataCentre: string }
  | { readonly kind: 'unknown' };

export type ParsedPlan =
  | { readonly kind: 'valid'; readonly plan: RoutingPlan }
  | { readonly kind: 'invalid'; readonly problems: readonly string[] };

/** Translates between the gateway's types and the protocol of one deployment. Contains no policy. */
export abstract class ProtocolAdapter {
  public abstract readonly headers: HeaderNames;

  public abstract readonly readyPath: string;

  /** Classifies a request by its method and URL. */
  public abstract parseControlCall(method: string, url: string): ControlCall;

  /** Parses an announcement; undefined if the body is invalid. */
  public abstract parseAnnouncement(id: string, body: string): Announcement | undefined;

  /** Answer to an announcement, with the address that the target shall send the next ones to, if not undefined. */
  public abstract formatAnnouncementAnswer(nextAddress: string | undefined): string;

  /** Returns the start (Unix ms) of the incarnation that is leaving, 0 if unknown. */
  public abstract parseLeaveNotice(body: string): number;

  /** Parses and validates a configuration document. */
  public abstract parsePlan(document: string): ParsedPlan;

  /** Returns the caller's data centre of an address lookup, or undefined if the request is not a lookup. */
  public abstract parseAddressLookup(
    method: string,
    url: string,
  ): { readonly dataCentre: string } | undefined;

  public abstract formatAddresses(addresses: readonly string[], ttlMs: number): string;
}
