import { describe, it } from 'node:test';
import { Random } from '@marigoldbank/base/random';
import { expect } from 'earl';
import { levelRetryMs } from './level-retry.js';
import { ServiceLevels } from './ServiceLevels.js';

const SERVICE = 'loans';
const VALID_MS = 3_000;
const URGENT = { service: SERVICE, rank: 0, team: 'north' };
const OTHER = { service: SERVICE, rank: 2, team: '' };

function makeLevels(): ServiceLevels {
  const levels = new ServiceLevels(new Random(3));
  levels.setRanked(new Set([SERVICE]));
  return levels;
}

function refusedOf(levels: ServiceLevels, request: typeof URGENT, now: number): number {
  return Array.from({ length: 200 }, () => levels.decide(request, now)).filter(
    ({ kind }) => kind === 'refused',
  ).length;
}

/** Attempts of one second at targets with the given load. */
function attempt(levels: ServiceLevels, rejected: number, load: number, from: number): void {
  Array.from({ length: 20 }, (_, i) => i).forEach((i) => {
    const now = from + i * 50;
    [URGENT, OTHER].forEach((request) => levels.decide(request, now));
    levels.noteEnded(SERVICE, { isRejected: i < rejected, load }, now);
  });
}

describe('ServiceLevels', () => {
  // Guards against levels that stay in force after the hub that computed them is lost.
  it('drops the level of the hub 3 s after its last message', () => {
    const levels = makeLevels();
    levels.noteHub(0);
    levels.setLevel(SERVICE, { ranks: new Map([[2, 0]]), teams: new Map(), waitMs: 500 });
    expect(refusedOf(levels, OTHER, VALID_MS - 1)).toEqual(200);
    expect(refusedOf(levels, URGENT, VALID_MS - 1)).toEqual(0);
    expect(refusedOf(levels, OTHER, VALID_MS)).toEqual(0);
  });

  // Guards against refusals of requests that no level names, and of services without ranks.
  it('multiplies the shares of rank and team, and admits all else', () => {
    const levels = makeLevels();
    levels.noteHub(0);
    const level = { ranks: new Map([[0, 0.5]]), teams: new Map([['north', 0.5]]), waitMs: 0 };
    levels.setLevel(SERVICE, level);
    const refused = refusedOf(levels, URGENT, 1);
    expect(refused > 120 && refused < 180).toEqual(true);
    expect(refusedOf(levels, OTHER, 1)).toEqual(0);
    levels.setRanked(new Set());
    expect(refusedOf(levels, URGENT, 1)).toEqual(0);
  });

  // Guards against an entry without a hub that overloads full targets, or refuses urgent requests first.
  it('refuses the least urgent requests after rejections for lack of room', () => {
    const levels = makeLevels();
    attempt(levels, 4, 5, 0);
    expect(refusedOf(levels, OTHER, 1_000) > 0).toEqual(true);
    expect(refusedOf(levels, URGENT, 1_001)).toEqual(0);
  });

  // Guards against refusals because targets with free slots reject requests.
  it('refuses nothing after rejections by targets with free slots', () => {
    const levels = makeLevels();
    attempt(levels, 11, 0.6, 0);
    expect(refusedOf(levels, OTHER, 1_000)).toEqual(0);
  });

  // Guards against callers that return together, or ignore a time that is too long.
  it('spreads the time to return within a third of the time left', () => {
    const times = [0, 0.5, 0.999].map((fraction) => levelRetryMs(1_000, 1_500, fraction));
    expect(times.every((ms) => ms <= 500)).toEqual(true);
    expect(times[2]! - times[0]! > 300).toEqual(true);
  });
});
