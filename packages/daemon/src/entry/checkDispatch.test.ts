import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { call, type CallResult } from '../testing/callers.js';
import { createTestLists, EntryFixture } from '../testing/EntryFixture.js';

const ROUTE_TIMEOUT_MS = 2_000;

describe('checkDispatch', () => {
  let fixture: EntryFixture;

  /** Sends a request, applies a change while it waits in the queue, and then releases it from the queue. */
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

  it('refuses a request whose key was revoked while it waited', async () => {
    const lists = createTestLists();
    const res = await changeWhileWaiting(() => {
      const asters = { ...lists.teams.asters!, keys: [] };
      fixture.setLists({ ...lists, teams: { ...lists.teams, asters } });
    });
    expect([res.status, res.verdict, fixture.executions]).toEqual([401, 'not-run', 0]);
    expect([fixture.budgets.consumed, fixture.budgets.released]).toEqual([0, 1]);
  });

  it('refuses requests whose plan or route was withdrawn while they waited', async () => {
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

  it('refuses after a process freeze during which the entry ceased to be current', async () => {
    const { blackboard, clock } = fixture;
    blackboard.freshness.set({
      ...blackboard.freshness.value,
      currentUntil: clock.now() + ROUTE_TIMEOUT_MS / 2,
    });
    const res = await changeWhileWaiting(() => clock.jump(ROUTE_TIMEOUT_MS / 2));
    expect([res.status, res.verdict, fixture.executions]).toEqual([503, 'not-run', 0]);
  });

  it('refuses after a process freeze that outlasts the deadline of the request', async () => {
    const res = await changeWhileWaiting(() => fixture.clock.jump(ROUTE_TIMEOUT_MS));
    expect([res.status, res.problem]).toEqual([504, 'deadlineBeforeDispatch']);
    expect(fixture.executions).toEqual(0);
  });

  it('refuses a request whose claim has expired, and releases the claim', async () => {
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

  it('acquires another target after an ended lease, and a new token after an expired one', async () => {
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

  it('runs after the connection is established, so that a slow connect cannot make it stale', async () => {
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

  it('refuses a team that exceeds its rate, with rate limit headers', async () => {
    fixture.budgets.available = 0;
    const res = await call(`${fixture.url}/orders/7`);
    expect([res.status, res.problem, res.verdict]).toEqual([429, 'overLimit', 'not-run']);
    expect(res.headers['retry-after']).toEqual('2');
    expect(res.headers['ratelimit-limit']).toEqual('100');
    expect(res.headers['ratelimit-remaining']).toEqual('0');
  });

  it('refuses routes that need a key when not current, and serves open ones', async () => {
    const { blackboard } = fixture;
    blackboard.freshness.set({
      ...blackboard.freshness.value,
      currentUntil: fixture.clock.now(),
    });
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
  const placeOrder = (body: string): Promise<CallResult> =>
    call(`${fixture.url}/orders`, { method: 'POST', body, headers });

  beforeEach(async () => {
    fixture = await EntryFixture.start();
  });

  afterEach(() => fixture.stop());

  it('return the stored response to a resend without running it again', async () => {
    const first = await placeOrder('one');
    const second = await placeOrder('one');
    expect([second.status, second.text]).toEqual([first.status, first.text]);
    expect(fixture.executions).toEqual(1);
  });

  it('report may-have-run to a resend after a lost response, and not-run to other content', async () => {
    fixture.firstUpstream.choose = () => ({ kind: 'reset' });
    const lost = await placeOrder('one');
    const resent = await placeOrder('one');
    const other = await placeOrder('two');
    expect([lost.verdict, resent.verdict, other.verdict]).toEqual([
      'may-have-run',
      'may-have-run',
      'not-run',
    ]);
    expect([resent.status, other.status, fixture.executions]).toEqual([409, 409, 1]);
  });

  it('are released after not-run, so that a resend runs', async () => {
    fixture.firstUpstream.choose = (_, index) => ({ kind: index === 0 ? 'shed' : 'answer' });
    const shed = await placeOrder('one');
    const resent = await placeOrder('one');
    expect([shed.verdict, resent.status, fixture.executions]).toEqual(['not-run', 200, 1]);
  });

  it('refuse as not-run when no majority of claim holders is available', async () => {
    fixture.claims.isAvailable = false;
    const res = await placeOrder('one');
    expect([res.status, res.verdict, fixture.executions]).toEqual([503, 'not-run', 0]);
  });

  it('stream a response completely when it is too large to store', async () => {
    const body = 'x'.repeat(600_000);
    fixture.firstUpstream.choose = () => ({ kind: 'answer', body });
    expect((await placeOrder('one')).text).toEqual(body);
    expect((await placeOrder('one')).status).toEqual(409);
  });

  it('are refused on open routes, where callers could read each other\u2019s responses', async () => {
    const res = await call(`${fixture.url}/maps/1`, { headers });
    expect([res.status, fixture.executions]).toEqual([400, 0]);
  });
});
