import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { call, type CallResult } from '../testing/callers.js';
import { createTestLists, EntryFixture } from '../testing/EntryFixture.js';

const T_MS = 2_000;

describe('the check at dispatch', () => {
  let fixture: EntryFixture;

  /** Sends a request, changes something while it waits in the queue, and lets it go on. */
  const changeWhileWaiting = async (
    change: () => void,
    headers?: Readonly<Record<string, string>>,
  ): Promise<CallResult> => {
    fixture.queue.isHeld = true;
    const result = call(`${fixture.url}/orders`, { method: 'POST', body: 'one', headers });
    while (fixture.queue.waiting === 0) await sleep(2);
    change();
    fixture.queue.isHeld = false;
    fixture.queue.wake();
    return result;
  };

  beforeEach(async () => {
    fixture = await EntryFixture.start({ upstreams: [{}, {}] });
  });

  afterEach(() => fixture.stop());

  it('sees a key that was revoked while the request waited', async () => {
    const lists = createTestLists();
    const res = await changeWhileWaiting(() => {
      const asters = { ...lists.teams.asters!, keys: [] };
      fixture.setLists({ ...lists, teams: { ...lists.teams, asters } });
    });
    expect([res.status, res.verdict, fixture.executions]).toEqual([401, 'not-run', 0]);
    expect([fixture.budgets.consumed, fixture.budgets.released]).toEqual([0, 1]);
  });

  it('sees a plan and a route that changed while the request waited', async () => {
    const lists = createTestLists();
    const forbidden = await changeWhileWaiting(() => {
      const full = { ...lists.plans.full!, services: [] };
      fixture.setLists({ ...lists, plans: { ...lists.plans, full } });
    });
    fixture.setLists(lists);
    const gone = await changeWhileWaiting(() => {
      const routes = { check: lists.routes.check! };
      fixture.setLists({ ...lists, routes });
    });
    expect([forbidden.status, gone.status, fixture.executions]).toEqual([403, 404, 0]);
  });

  it('refuses after a freeze in which the entry ceased to be current', async () => {
    const { blackboard, clock } = fixture;
    blackboard.currency.set({ ...blackboard.currency.value, currentUntil: clock.now() + T_MS / 2 });
    const res = await changeWhileWaiting(() => clock.jump(T_MS / 2));
    expect([res.status, res.verdict, fixture.executions]).toEqual([503, 'not-run', 0]);
  });

  it('refuses after a freeze that is longer than the time of the request', async () => {
    const res = await changeWhileWaiting(() => fixture.clock.jump(T_MS));
    expect([res.status, res.problem]).toEqual([504, 'deadlineBeforeDispatch']);
    expect(fixture.executions).toEqual(0);
  });

  it('refuses a claim that has become too old, and gives it up', async () => {
    const headers = { 'idempotency-key': 'k1' };
    const expire = (): void => {
      fixture.claims.mayDispatch = false;
    };
    const res = await changeWhileWaiting(expire, headers);
    expect([res.status, res.problem, fixture.executions]).toEqual([503, 'claimExpired', 0]);
    fixture.claims.mayDispatch = true;
    const again = await call(`${fixture.url}/orders`, { method: 'POST', body: 'one', headers });
    expect([again.status, fixture.executions]).toEqual([200, 1]);
  });

  it('takes another target when the lease has ended, and a new token when it has expired', async () => {
    let isFirst = true;
    fixture.pool.mayDispatch = () => {
      const isAllowed = !isFirst;
      isFirst = false;
      return isAllowed;
    };
    fixture.budgets.expiredConsumes = 1;
    const res = await call(`${fixture.url}/orders`, { method: 'POST', body: 'one' });
    expect([res.status, fixture.executions]).toEqual([200, 1]);
    expect([fixture.budgets.reserved, fixture.budgets.consumed]).toEqual([2, 1]);
  });

  it('runs after the connection is made, so that a slow connection does not outdate it', async () => {
    let checks = 0;
    fixture.pool.mayDispatch = () => {
      checks += 1;
      return false;
    };
    const res = await call(`${fixture.url}/orders`, { method: 'POST', body: 'one' });
    expect([res.status, res.problem, fixture.executions]).toEqual([503, 'noTarget', 0]);
    expect(checks).toBeGreaterThan(1);
    expect(fixture.upstreams.some(({ connections }) => connections > 0)).toEqual(true);
  });

  it('refuses a team over its rate with the limits', async () => {
    fixture.budgets.available = 0;
    const res = await call(`${fixture.url}/orders/7`);
    expect([res.status, res.problem, res.verdict]).toEqual([429, 'overLimit', 'not-run']);
    expect(res.headers['retry-after']).toEqual('2');
    expect(res.headers['ratelimit-limit']).toEqual('100');
    expect(res.headers['ratelimit-remaining']).toEqual('0');
  });

  it('refuses keyed routes when not current, and serves open ones', async () => {
    const { blackboard } = fixture;
    blackboard.currency.set({ ...blackboard.currency.value, currentUntil: fixture.clock.now() });
    const keyed = await call(`${fixture.url}/orders/7`);
    const unknownKey = await call(`${fixture.url}/orders/7`, {
      key: `mb_issuednow1_${'a'.repeat(43)}`,
    });
    const open = await call(`${fixture.url}/maps/1`);
    expect([keyed.problem, unknownKey.problem]).toEqual(['notCurrent', 'notCurrent']);
    expect(open.status).toEqual(200);
  });
});

describe('claims', () => {
  let fixture: EntryFixture;
  const headers = { 'idempotency-key': 'k1' };
  const place = (body: string): Promise<CallResult> =>
    call(`${fixture.url}/orders`, { method: 'POST', body, headers });

  beforeEach(async () => {
    fixture = await EntryFixture.start();
  });

  afterEach(() => fixture.stop());

  it('give a resend the stored answer without running it again', async () => {
    const first = await place('one');
    const second = await place('one');
    expect([second.status, second.text]).toEqual([first.status, first.text]);
    expect(fixture.executions).toEqual(1);
  });

  it('answer may-have-run to a resend after a lost answer, and not-run to other content', async () => {
    fixture.firstUpstream.choose = () => ({ kind: 'reset' });
    const lost = await place('one');
    const resent = await place('one');
    const other = await place('two');
    expect([lost.verdict, resent.verdict, other.verdict]).toEqual([
      'may-have-run',
      'may-have-run',
      'not-run',
    ]);
    expect([resent.status, other.status, fixture.executions]).toEqual([409, 409, 1]);
  });

  it('are given up after a not-run, so that a resend runs', async () => {
    fixture.firstUpstream.choose = (_, index) => ({ kind: index === 0 ? 'shed' : 'answer' });
    const shed = await place('one');
    const resent = await place('one');
    expect([shed.verdict, resent.status, fixture.executions]).toEqual(['not-run', 200, 1]);
  });

  it('refuse as not-run without a majority', async () => {
    fixture.claims.isAvailable = false;
    const res = await place('one');
    expect([res.status, res.verdict, fixture.executions]).toEqual([503, 'not-run', 0]);
  });

  it('stream an answer that is too long to store, complete', async () => {
    const body = 'x'.repeat(600_000);
    fixture.firstUpstream.choose = () => ({ kind: 'answer', body });
    expect((await place('one')).text).toEqual(body);
    expect((await place('one')).status).toEqual(409);
  });

  it('are refused on open routes, where callers could read each other\u2019s answers', async () => {
    const res = await call(`${fixture.url}/maps/1`, { headers });
    expect([res.status, fixture.executions]).toEqual([400, 0]);
  });
});
