/** An entry with fakes around it, for tests and the path bench. */
import { createHash } from 'node:crypto';
import type { IFairQueue } from '@marigoldbank/admission';
import { SystemClock, type Clock } from '@marigoldbank/base/clock';
import type { IFleetBudgets, ReserveOutcome } from '@marigoldbank/budgets';
import type { ClaimOutcome, IClaimRegistry } from '@marigoldbank/claims';
import type { AttemptOutcome, ITargetPool, TargetLease } from '@marigoldbank/ejection';
import type { FleetConfig } from '@marigoldbank/fleet/config';
import type { ICompiledLists } from '@marigoldbank/lists/compiled';
import { listsSchema, type Lists } from '@marigoldbank/lists/schema';
import { Blackboard } from '../Blackboard.js';
import { DEFAULT_LIMITS, type EntryLimits } from '../entry/constants.js';
import { EntryServer } from '../entry/EntryServer.js';
import type { EntryContext, ServiceRouter, TargetPermit } from '../entry/types.js';
import { UpstreamClient } from '../entry/UpstreamClient.js';
import type { Logger } from '../telemetry/Logger.js';
import { Metrics } from '../telemetry/Metrics.js';
import { NullLogger } from '../telemetry/NullLogger.js';
