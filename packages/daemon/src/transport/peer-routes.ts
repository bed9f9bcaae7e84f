/** Connect service of an entry for messages of other entries. */
import type { ConnectRouter } from '@connectrpc/connect';
import type { IFleetBudgets } from '@marigoldbank/budgets';
import type { IClaimRegistry } from '@marigoldbank/claims';
import type { Announcement, CoordinateRequest, CoordinateResponse } from '@marigoldbank/ejection';
import { PeerService } from '@marigoldbank/protocol/gen/marigoldbank/v1/peer_pb';
import type { Blackboard } from '../Blackboard.js';
import {
  fromBorrowResponse,
  fromClaimResponse,
  fromCoordinateResponse,
  fromRecoverResponse,
  toAnnouncement,
  toBorrowRequest,
  toClaimRequest,
  toCoordinateRequest,
  toRecoverRequest,
} from './peer-codec.js';

/** Components that handle the messages of the peer service. */
export interface PeerHandlers {
  readonly blackboard: Blackboard;
  readonly coordinate: (req: CoordinateRequest) => CoordinateResponse;
  readonly budgets: IFleetBudgets;
  readonly claims: IClaimRegistry;
  readonly isCurrent: () => boolean;
  readonly onAnnouncements: (announcements: readonly Announcement[]) => void;
}

const encoder = new TextEncoder();

function isLeaving(blackboard: Blackboard): boolean {
  return blackboard.lifecycle.value !== 'serving' && blackboard.lifecycle.value !== 'starting';
}

/** Registers the peer service of an entry. */
export function registerPeer(router: ConnectRouter, handlers: PeerHandlers): void {
  const { blackboard, coordinate, budgets, claims } = handlers;
  router.service(PeerService, {
    ask: () => ({
      revision: BigInt(blackboard.config.value?.config.revision ?? 0),
      isDraining: isLeaving(blackboard),
      acceptedRevision: BigInt(blackboard.freshness.value.acceptedRevision),
      isCurrent: handlers.isCurrent(),
    }),
    fetchConfig: (req) => {
      const config = blackboard.config.value?.config;
      if (config === undefined || config.revision < Number(req.minRevision)) return {};
      return {
        revision: BigInt(config.revision),
        config: encoder.encode(JSON.stringify(config)),
      };
    },
    coordinate: (req) => fromCoordinateResponse(coordinate(toCoordinateRequest(req))),
    announce: (req) => {
      handlers.onAnnouncements(req.announcements.map(toAnnouncement));
      return {};
    },
    borrow: (req) => fromBorrowResponse(budgets.handleBorrow(toBorrowRequest(req))),
    claim: (req) => fromClaimResponse(claims.handleClaim(toClaimRequest(req))),
    resolveClaim: (req) => claims.handleResolve(toClaimRequest(req)),
    recoverClaims: (req) => fromRecoverResponse(claims.handleRecover(toRecoverRequest(req))),
  });
}
