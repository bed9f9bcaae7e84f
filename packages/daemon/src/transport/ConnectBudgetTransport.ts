/** Sends the budgets' loan requests over Connect. */
import { BudgetTransport, type BorrowRequest, type BorrowResponse } from '@marigoldbank/budgets';
import { PeerService } from '@marigoldbank/protocol/gen/marigoldbank/v1/peer_pb';
import type { PeerDirectory } from '../controllers/PeerDirectory.js';
import type { Channels } from './Channels.js';
import { fromBorrowRequest } from './peer-codec.js';

/** A loan that arrives later is of little use, since its lifetime of 1,000 ms starts with the request. */
const CALL_TIMEOUT_MS = 200;

export class ConnectBudgetTransport extends BudgetTransport {
  public constructor(
    private readonly channels: Channels,
    private readonly peers: PeerDirectory,
  ) {
    super();
  }

  public override borrow(to: string, req: BorrowRequest): Promise<BorrowResponse> {
    const client = this.channels.client(PeerService, this.peers.addressOf(to));
    return client.borrow(fromBorrowRequest(req), { timeoutMs: CALL_TIMEOUT_MS });
  }
}
