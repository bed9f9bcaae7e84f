import { describe, it } from 'node:test';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { makeTeam } from '@marigoldbank/routing/fixtures';
import { expect } from 'earl';
import type { ErrorResponse } from './ErrorResponse.js';
import { EntryState } from './EntryState.js';
import { HubReporter } from './HubReporter.js';
import { TeamAdmission } from './TeamAdmission.js';

const ENTRIES = 40;
const TEAM = makeTeam({ ratePerSecond: 60, burst: 60 });

interface Fixture {
  readonly clock: VirtualClock;
  readonly reporter: HubReporter;
  readonly admission: TeamAdmission;
  readonly tokenRequestIds: number[];
}

/** An entry that has just received a status from its hub. */
function makeEntry(): Fixture {
  const clock = new VirtualClock();
  const state = new EntryState({ ratio: 0.2, slack: 60, windowMs: 10_000 }, undefined, () =>
    clock.now(),
  );
  const reporter = new HubReporter(clock, state, new NullLogger());
  const tokenRequestIds: number[] = [];
  reporter.attach((report) =>
    tokenRequestIds.push(...(report.tokens ?? []).map(({ id }) => id ?? 0)),
  );
  state.setStatus(
    {
      confirmedAgeMs: 0,
      budgetAgeMs: 0,
      entries: ENTRIES,
      isLeaderless: false,
      isCutOff: false,
      isStarting: false,
      planVersion: 0,
      trueAt: clock.now(),
    },
    clock.now(),
  );
  return {
    clock,
    reporter,
    admission: new TeamAdmission({ clock, state, reporter }),
    tokenRequestIds,
  };
}

/** Outcome of a request after some time, `waiting` if there is none yet. */
async function outcomeAfter(
  { clock }: Fixture,
  charged: Promise<ErrorResponse | undefined>,
  ms: number,
): Promise<string> {
  let outcome = 'waiting';
  charged
    .then((reply) => {
      outcome = reply?.kind ?? 'admitted';
    })
    .catch((err: unknown) => {
      outcome = String(err);
    });
  clock.advance(ms);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  return outcome;
}

describe('TeamAdmission', () => {
  it('admits a request with a token of the budget holder', async () => {
    const entry = makeEntry();
    const charged = entry.admission.charge(TEAM, 0);
    entry.clock.advance(10);
    entry.reporter.resolveToken(entry.tokenRequestIds[0]!, { kind: 'granted' });
    expect(await outcomeAfter(entry, charged, 0)).toEqual('admitted');
  });

  it('waits for a slow budget holder as long as the request can wait', async () => {
    const entry = makeEntry();
    const charged = entry.admission.charge(TEAM, 900);
    expect(await outcomeAfter(entry, charged, 700)).toEqual('waiting');
    entry.reporter.resolveToken(entry.tokenRequestIds[0]!, { kind: 'granted' });
    expect(await outcomeAfter(entry, charged, 0)).toEqual('admitted');
  });

  it('decides locally when the budget holder does not answer, and reports that it did', async () => {
    const entry = makeEntry();
    const charged = Array.from({ length: 4 }, () => entry.admission.charge(TEAM, 0));
    entry.clock.advance(300);
    const replies = await Promise.all(charged);
    const refused = replies.filter((reply) => reply?.kind === 'overQuota');
    expect(refused.length).toBeGreaterThan(1);
    expect(
      refused.every((reply) => reply?.kind === 'overQuota' && reply.decidedBy === 'entry'),
    ).toEqual(true);
  });

  it('refuses a request at once when the budget holder refuses the token', async () => {
    const entry = makeEntry();
    const charged = entry.admission.charge(TEAM, 900);
    entry.clock.advance(10);
    entry.reporter.resolveToken(entry.tokenRequestIds[0]!, { kind: 'refused', retryAfterMs: 400 });
    expect(await charged).toEqual({
      kind: 'overQuota',
      verdict: 'notRun',
      retryAfterMs: 400,
      team: TEAM.name,
      decidedBy: 'holder',
    });
  });

  // Targets that reject half of all requests made teams within their rates run out of tokens: each return used one more.
  it('gives back the token of a request that was not run', () => {
    const entry = makeEntry();
    const used: [number, number][] = [];
    entry.reporter.attach((report) =>
      used.push(
        ...(report.teams ?? []).map(({ admitted, returned }): [number, number] => [
          admitted ?? 0,
          returned ?? 0,
        ]),
      ),
    );
    entry.admission.giveBack(TEAM);
    entry.clock.advance(100);
    expect(used).toEqual([[0, 1]]);
  });
});
