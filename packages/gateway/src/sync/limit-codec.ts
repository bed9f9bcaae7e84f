/** Converts statements about the limits of targets from and to wire messages. */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type {
  TargetLimit,
  TargetLimitSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/sync_pb';
import type { LimitStatement } from '@marigoldbank/routing/LimitTable';

export type TargetLimitInit = MessageInitShape<typeof TargetLimitSchema> & { readonly id: string };

export function toLimitMessage(
  id: string,
  { perSecond, at }: LimitStatement,
  now: number,
): TargetLimitInit {
  return { id, perSecond, ageMs: Math.max(0, Math.round(now - at)) };
}

export function toLimitStatement({ perSecond, ageMs }: TargetLimit, now: number): LimitStatement {
  return { perSecond, at: now - ageMs };
}
