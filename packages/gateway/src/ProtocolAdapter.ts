/** What the gateway needs to know of the protocol that callers, upstreams and operators speak. */
import type { RoutingPlan } from '@marigoldbank/routing/plan';

/** Header names in lower case. */
export interface HeaderNames {
  readonly requestId: string;
  /** Milliseconds that the caller waits, and that the upstream has left. */
  readonly deadlineMs: string;
  /** Proof of the upstream that a response is its own. */
  readonly seal: string;
  /** Team of the caller's key, as told to the upstream. */
  readonly team: string;
  /** Id of the upstream that must serve the request. */
  readonly expectedTarget: string;
  /** Set by an upstream on responses to requests that it did not run. */
  readonly notRun: string;
  /** Key of the caller. */
  readonly key: string;
}

/** An announcement of a target, as it says of itself. */
export interface Announcement {
  readonly id: string;
  readonly address: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly version: string;
  readonly slots: number;
  readonly isDraining: boolean;
  readonly coldMs: number;
  readonly seq: number;
  /** Unix milliseconds of the target's start, 0 if unknown. */
  readonly born: number;
}

/** A call that arrives at a control VM. */
export type ControlCall =
  | { readonly kind: 'announce'; readonly id: string }
  | { readonly kind: 'leave'; readonly id: string }
  | { readonly kind: 'putPlan' }
  | { readonly kind: 'getPlan' }
  | { readonly kind: 'unknown' };

export type ParsedPlan =
  | { readonly kind: 'valid'; readonly plan: RoutingPlan }
  | { readonly kind: 'invalid'; readonly problems: readonly string[] };

/** Translation between the product's types and one deployment's protocol. It decides nothing. */
export abstract class ProtocolAdapter {
  public abstract readonly headers: HeaderNames;

  public abstract readonly readyPath: string;

  /** Which call a request is, by its method and target. */
  public abstract parseControlCall(method: string, url: string): ControlCall;

  /** An announcement, or undefined for bytes that are none. */
  public abstract parseAnnouncement(id: string, body: string): Announcement | undefined;

  /** Start of the incarnation that leaves, 0 if unknown. */
  public abstract parseLeaveNotice(body: string): number;

  /** A configuration document. */
  public abstract parsePlan(document: string): ParsedPlan;

  /** The caller's data centre in a question for addresses, or undefined if the request is no such question. */
  public abstract parseAddressLookup(
    method: string,
    url: string,
  ): { readonly dataCentre: string } | undefined;

  public abstract formatAddresses(addresses: readonly string[], ttlMs: number): string;
}
