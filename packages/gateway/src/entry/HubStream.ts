/** Stream of an entry to one hub. */
import type { MessageQueue } from '../sync/MessageQueue.js';
import type { EntryReportInit } from './HubReporter.js';

export interface HubStream {
  readonly address: string;
  readonly abort: AbortController;
  readonly reports: MessageQueue<EntryReportInit>;
  /** Version of the plan that the entry told the hub, which sends changes to it. Undefined if it had none. */
  readonly planVersion: number | undefined;
  /** Monotonic ms, as all times. */
  readonly openedAt: number;
  /** Time of the first message. */
  firstMessageAt: number | undefined;
  lastMessageAt: number;
  /** Targets that the hub has sent. */
  readonly targetIds: Set<string>;
  /** Whether the hub is known to have sent all targets. */
  hasAllTargets: boolean;
}
