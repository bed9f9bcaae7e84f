import { describe, it } from 'node:test';
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { delay } from '@marigoldbank/base/clock';
import { Random } from '@marigoldbank/base/random';
import { VirtualClock } from '@marigoldbank/base/virtual-clock';
import { NullLogger } from '@marigoldbank/daemon/telemetry/NullLogger';
import { ListHubsResponseSchema } from '@marigoldbank/protocol/gen/marigoldbank/v1/log_pb';
import { expect } from 'earl';
import { HubLocator } from './HubLocator.js';

type Response = MessageInitShape<typeof ListHubsResponseSchema>;

type Answer = (at: number) => Response | undefined;

interface Fixture {
  readonly clock: VirtualClock;
  readonly locator: HubLocator;
  readonly asked: string[];
}

function makeLocator(answers: Readonly<Record<string, Answer>>): Fixture {
  const clock = new VirtualClock();
  const asked: string[] = [];
  const locator = new HubLocator({
    clock,
    random: new Random(1),
    logger: new NullLogger(),
    dataCentre: 'dc-1',
    seeds: () => ['seed-1', 'seed-2', 'seed-3'],
    client: {
      ask: async (address, _dataCentre, timeoutMs) => {
        asked.push(address);
        const answer = answers[address]?.(clock.now());
        await delay(clock, answer === undefined ? timeoutMs : 2);
        return answer && create(ListHubsResponseSchema, answer);
      },
    },
  });
  return { clock, locator, asked };
}

function listOf(count: number, isSettled: boolean): Response {
  return { hubs: Array.from({ length: count }, (_, i) => ({ address: `hub-${i}` })), isSettled };
}

async function locate(
  { clock, locator }: Fixture,
  known: readonly string[],
  limitMs: number,
): Promise<{ hubs: number | undefined; tookMs: number } | undefined> {
  const startedAt = clock.now();
  const results: { hubs: number | undefined; tookMs: number }[] = [];
  locator
    .locate(known)
    .then((res) => results.push({ hubs: res?.hubs.length, tookMs: clock.now() - startedAt }))
    .catch(() => undefined);
  while (results.length === 0 && clock.now() - startedAt < limitMs) await clock.advanceAsync(5);
  return results[0];
}

describe('HubLocator', () => {
  // Entries that gave up at once opened streams to the seeds, which were busy with each other already.
  it('asks until the hubs are complete when the whole fleet starts', async () => {
    const answer: Answer = (at) => (at < 800 ? undefined : listOf(at < 1_500 ? 3 : 10, at > 1_700));
    const fixture = makeLocator({ 'seed-1': answer, 'seed-2': answer, 'seed-3': answer });
    const result = await locate(fixture, [], 6_000);
    expect(result?.hubs).toEqual(10);
    expect(result!.tookMs).toBeLessThan(2_200);
  });

  it('goes on with an incomplete list after 5 s, and without one if nobody answers', async () => {
    const partial = await locate(makeLocator({ 'seed-1': () => listOf(3, false) }), [], 6_000);
    expect(partial?.hubs).toEqual(3);
    const none = await locate(makeLocator({}), [], 6_000);
    expect(none?.hubs).toEqual(undefined);
    expect(none!.tookMs).toBeLessThan(5_300);
  });

  // Entries of a side of a split would have gone back to the hub that they had just left.
  it('takes the list of a control VM that knows a hub of use, if one does', async () => {
    const late: Answer = () => ({ hubs: [{ address: 'late', isLate: true }], isSettled: true });
    const fixture = makeLocator({
      'seed-1': late,
      'seed-2': late,
      'seed-3': late,
      'vm-1': () => listOf(5, true),
    });
    await locate(fixture, [], 1_000);
    expect((await locate(fixture, ['vm-1'], 1_000))?.hubs).toEqual(5);
    expect((await locate(fixture, [], 1_000))?.hubs).toEqual(1);
  });

  it('finds a control VM that answers within 0.6 s while half of those that it knows do not', async () => {
    const known = Array.from({ length: 10 }, (_, i) => `vm-${i}`);
    const answers = Object.fromEntries(known.slice(5).map((vm) => [vm, () => listOf(10, true)]));
    const fixture = makeLocator({ ...answers, 'seed-1': () => listOf(10, true) });
    await locate(fixture, known, 6_000);
    const results = await Promise.all([1, 2, 3].map(() => locate(fixture, known, 1_000)));
    results.forEach((result) => {
      expect(result?.hubs).toEqual(10);
      expect(result!.tookMs).toBeLessThanOrEqual(600);
    });
  });

  // After a loss of power of all control VMs 111 entries asked their log processes 4,389 times for hubs that had not started yet,
  // beside the election.
  it('asks 10 times a second at most while control VMs answer and know no hub', async () => {
    const known = Array.from({ length: 7 }, (_, i) => `vm-${i}`);
    const answer: Answer = (at) => listOf(at < 100 ? 3 : 0, at < 100);
    const fixture = makeLocator(Object.fromEntries([...known, 'seed-1'].map((vm) => [vm, answer])));
    const { clock, asked } = fixture;
    await locate(fixture, known, 1_000);
    await clock.advanceAsync(200);
    const [startedAt, before] = [clock.now(), asked.length];
    while (clock.now() - startedAt < 3_000) await locate(fixture, known, 1_000);
    expect(asked.length - before).toBeLessThanOrEqual(30);
  });

  it('goes on asking behind a control VM that has just started', async () => {
    const fixture = makeLocator({
      'seed-1': (at) => listOf(at < 100 ? 3 : 0, true),
      'vm-1': () => listOf(5, true),
    });
    await locate(fixture, [], 1_000);
    await fixture.clock.advanceAsync(200);
    expect((await locate(fixture, ['vm-1'], 1_000))?.hubs).toEqual(5);
  });
});
