/** Client for calls to other entries. */
import type { Client } from '@connectrpc/connect';
import type { Announcement, CoordinateRequest, CoordinateResponse } from '@marigoldbank/ejection';
import { fleetConfigSchema, type FleetConfig } from '@marigoldbank/fleet/config';
import { PeerService } from '@marigoldbank/protocol/gen/marigoldbank/v1/peer_pb';
import type { Channels } from './Channels.js';
import { fromAnnouncement, fromCoordinateRequest, toCoordinateResponse } from './peer-codec.js';

/** Longer than any round trip between data centres, and much shorter than the freshness of 2,000 ms. */
const CALL_TIMEOUT_MS = 400;

const FETCH_TIMEOUT_MS = 2_000;

export interface PeerAnswer {
  /** 0 if the peer has no configuration. */
  readonly revision: number;
  readonly isDraining: boolean;
  readonly acceptedRevision: number;
  readonly isCurrent: boolean;
}

export class PeerClient {
  public constructor(private readonly channels: Channels) {}

  /** Asks a peer which revision it has in force. Rejects if no answer arrives in time. */
  public async ask(
    address: string,
    req: { readonly from: string; readonly revision: number; readonly isDraining: boolean },
  ): Promise<PeerAnswer> {
    const message = { ...req, revision: BigInt(req.revision) };
    const res = await this.client(address).ask(message, { timeoutMs: CALL_TIMEOUT_MS });
    return {
      revision: Number(res.revision),
      isDraining: res.isDraining,
      acceptedRevision: Number(res.acceptedRevision),
      isCurrent: res.isCurrent,
    };
  }

  /** Fetches a configuration of at least `minRevision`. Resolves to undefined if the peer has none. */
  public async fetchConfig(address: string, minRevision: number): Promise<FleetConfig | undefined> {
    const message = { minRevision: BigInt(minRevision) };
    const res = await this.client(address).fetchConfig(message, { timeoutMs: FETCH_TIMEOUT_MS });
    if (res.config.length === 0) return undefined;
    return fleetConfigSchema.parse(JSON.parse(new TextDecoder().decode(res.config)));
  }

  public async coordinate(address: string, req: CoordinateRequest): Promise<CoordinateResponse> {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    return toCoordinateResponse(
      await this.client(address).coordinate(fromCoordinateRequest(req), options),
    );
  }

  public async announce(
    address: string,
    from: string,
    announcements: readonly Announcement[],
  ): Promise<void> {
    const message = { from, announcements: announcements.map(fromAnnouncement) };
    await this.client(address).announce(message, { timeoutMs: CALL_TIMEOUT_MS });
  }

  private client(address: string): Client<typeof PeerService> {
    return this.channels.client(PeerService, address);
  }
}
