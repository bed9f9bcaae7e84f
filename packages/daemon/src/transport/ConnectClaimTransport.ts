/** Sends claim messages over Connect. */
import {
  ClaimTransport,
  type ClaimRequest,
  type ClaimResponse,
  type RecoverClaimsRequest,
  type RecoverClaimsResponse,
  type ResolveClaimRequest,
  type ResolveClaimResponse,
} from '@marigoldbank/claims';
import { PeerService } from '@marigoldbank/protocol/gen/marigoldbank/v1/peer_pb';
import type { Client } from '@connectrpc/connect';
import type { PeerDirectory } from '../controllers/PeerDirectory.js';
import type { Channels } from './Channels.js';
import {
  fromClaimRequest,
  fromRecoverRequest,
  toClaimResponse,
  toRecoverResponse,
} from './peer-codec.js';

const CALL_TIMEOUT_MS = 400;

/** A recovering holder may receive the claims of many shards at once. */
const RECOVER_TIMEOUT_MS = 2_000;

export class ConnectClaimTransport extends ClaimTransport {
  public constructor(
    private readonly channels: Channels,
    private readonly peers: PeerDirectory,
  ) {
    super();
  }

  public override async claim(to: string, req: ClaimRequest): Promise<ClaimResponse> {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    return toClaimResponse(await this.client(to).claim(fromClaimRequest(req), options));
  }

  public override resolve(to: string, req: ResolveClaimRequest): Promise<ResolveClaimResponse> {
    const options = { timeoutMs: CALL_TIMEOUT_MS };
    return this.client(to).resolveClaim(fromClaimRequest(req), options);
  }

  public override async recover(
    to: string,
    req: RecoverClaimsRequest,
  ): Promise<RecoverClaimsResponse> {
    const options = { timeoutMs: RECOVER_TIMEOUT_MS };
    return toRecoverResponse(await this.client(to).recoverClaims(fromRecoverRequest(req), options));
  }

  private client(to: string): Client<typeof PeerService> {
    return this.channels.client(PeerService, this.peers.addressOf(to));
  }
}
