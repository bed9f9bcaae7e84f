/** Sends a change and waits until it is in force. */
import { randomUUID } from 'node:crypto';
import type { Change, ChangeResult } from '@marigoldbank/fleet/changes';
import { CommandError } from './CommandError.js';
import type { Outcome } from './exit-codes.js';
import { toTimeoutMs, type ClientContext } from './define-command.js';
import type { CommandResult, Io } from './types.js';

type DistributiveOmit<T, K extends PropertyKey> = T extends unknown ? Omit<T, K> : never;

/** A change without the fields that all kinds of changes share. */
export type ChangeBody = DistributiveOmit<Change, 'changeId' | 'operator' | 'at'>;

export interface SubmitArgs {
  readonly 'change-id'?: string | undefined;
  readonly timeout: string;
}

/** The result of a change that control did not refuse: it was recorded, or has no effect. */
export type SuccessfulResult = Extract<ChangeResult, { kind: 'recorded' | 'unchanged' }>;

function describeConflict(result: Extract<ChangeResult, { kind: 'conflict' }>): string[] {
  return result.changedSince.map(
    ({ revision, operator, summary }) => `revision ${revision} by ${operator}: ${summary}`,
  );
}

function throwIfRefused(
  result: ChangeResult,
): asserts result is Extract<ChangeResult, { kind: 'recorded' | 'unchanged' }> {
  if (result.kind === 'rejected') {
    const details = result.reasons;
    throw new CommandError({ kind: 'rejected', message: 'control refused the change', details });
  }
  if (result.kind === 'conflict') {
    const now = result.currentListsRevision;
    throw new CommandError({
      kind: 'conflict',
      message: `the lists were changed meanwhile (now at revision ${now}); pull, edit and apply again`,
      details: describeConflict(result),
    });
  }
}

async function propose(context: ClientContext, change: Change): Promise<ChangeResult> {
  try {
    return await context.client.propose(change);
  } catch (err) {
    if (!(err instanceof CommandError) || err.failure.kind !== 'unknownOutcome') throw err;
    const hint = `change id ${change.changeId}; a change sent again with it has an effect once`;
    const details = [...(err.failure.details ?? []), hint];
    throw new CommandError({ ...err.failure, details });
  }
}

/** Sends a change, then waits until it is in force on every entry or the timeout ends. */
export async function submitChange(
  context: ClientContext,
  body: ChangeBody,
  args: SubmitArgs,
  io: Io,
  onSuccess: (result: SuccessfulResult) => void = () => undefined,
): Promise<CommandResult> {
  const timeoutMs = toTimeoutMs(args.timeout);
  const changeId = args['change-id'] ?? randomUUID();
  const { operator } = context.settings;
  const change: Change = { ...body, changeId, operator, at: new Date().toISOString() };
  if (args['change-id'] === undefined) io.writeStderr(`change id ${changeId}`);
  const result = await propose(context, change);
  throwIfRefused(result);
  onSuccess(result);
  const { kind, revision } = result;
  io.writeStderr(
    kind === 'unchanged'
      ? `nothing to change, revision ${revision} stays`
      : `recorded as revision ${revision}`,
  );
  let shown = '';
  const progress = await context.client.waitInForce(revision, timeoutMs, (now) => {
    const accepted = now.isAccepted ? ', accepted' : '';
    const text = `in force on ${now.entriesInForce} of ${now.entriesTotal} entries${accepted}`;
    if (text !== shown) io.writeStderr(text);
    shown = text;
  });
  const inForce = progress?.entriesInForce ?? 0;
  const total = progress?.entriesTotal ?? 0;
  const isAccepted = progress?.isAccepted ?? false;
  const isEverywhere = isAccepted && inForce === total;
  const outcomeOfAccepted: Outcome = isEverywhere ? 'inForce' : 'notEverywhere';
  const outcome: Outcome = isAccepted ? outcomeOfAccepted : 'notAccepted';
  const missing = progress?.missing ?? [];
  const json = { changeId, result: kind, revision, isAccepted, inForce, total, missing };
  const texts: Partial<Record<Outcome, string>> = {
    inForce: `revision ${revision} is in force on every entry`,
    notEverywhere: `revision ${revision} is accepted; not in force on ${missing.join(', ')}`,
    notAccepted: `revision ${revision} is recorded, but not accepted by a majority of the entries`,
  };
  return { outcome, json, lines: [texts[outcome] ?? ''] };
}
