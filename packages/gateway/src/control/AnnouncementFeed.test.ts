import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Announcement } from '../announcement.js';
import { AnnouncementFeed } from './AnnouncementFeed.js';

/** Targets of the largest deployment. */
const TARGETS = 415;

function makeAnnouncement(overrides: Partial<Announcement> = {}): Announcement {
  return {
    id: 'i-1',
    address: '10.1.0.1:80',
    service: 's1',
    dataCentre: 'dc-a',
    version: 'v1',
    slots: 6,
    isDraining: false,
    coldMs: 0,
    seq: 1,
    born: 1_000,
    ...overrides,
  };
}

function idsAfter(feed: AnnouncementFeed, position: number): string[] {
  return feed.since(position, 0).announcements.map(({ id }) => id);
}

describe('AnnouncementFeed', () => {
  // With one for each announcement, a hub that does not read would make the log process grow without limit.
  it('keeps one announcement for each target', () => {
    const feed = new AnnouncementFeed();
    for (let seq = 1; seq <= 100; seq += 1) {
      Array.from({ length: TARGETS }, (_, i) =>
        feed.add(makeAnnouncement({ id: `i-${i}`, address: `10.1.0.1:${i + 1}`, seq }), seq),
      );
    }
    expect(feed.since(0, 100).announcements.length).toEqual(TARGETS);
    expect(feed.position).toEqual(100 * TARGETS);
    expect(idsAfter(feed, feed.position)).toEqual([]);
  });

  it('returns what came after a position, with its age', () => {
    const feed = new AnnouncementFeed();
    feed.add(makeAnnouncement(), 100);
    const { position } = feed;
    feed.add(makeAnnouncement({ id: 'i-2', address: '10.1.0.2:80' }), 200);
    const batch = feed.since(position, 250);
    expect(batch.announcements.map(({ id, ageMs }) => [id, ageMs])).toEqual([['i-2', 50]]);
    expect(batch.position).toEqual(2);
  });

  it('ignores an announcement that is older than the newest one', () => {
    const feed = new AnnouncementFeed();
    feed.add(makeAnnouncement({ seq: 5 }), 100);
    expect(feed.add(makeAnnouncement({ seq: 4 }), 200)).toEqual('outdated');
    expect(feed.position).toEqual(1);
  });

  // The hub would hear of it with the next repetition only.
  it('takes a change of the cold time for news, and not one that is counted down', () => {
    const feed = new AnnouncementFeed();
    feed.add(makeAnnouncement({ coldMs: 3_000 }), 0);
    expect(feed.add(makeAnnouncement({ seq: 2, coldMs: 2_000 }), 1_010)).toEqual('refreshed');
    expect(feed.add(makeAnnouncement({ seq: 3, coldMs: 3_000 }), 2_000)).toEqual('changed');
    expect(feed.add(makeAnnouncement({ seq: 4, coldMs: 0 }), 2_100)).toEqual('changed');
    expect(feed.add(makeAnnouncement({ seq: 5, coldMs: 0 }), 9_000)).toEqual('refreshed');
  });

  it('drops a target that has left, and one whose address another one has', () => {
    const feed = new AnnouncementFeed();
    feed.add(makeAnnouncement(), 100);
    feed.add(makeAnnouncement({ id: 'i-2', born: 2_000 }), 200);
    expect(idsAfter(feed, 0)).toEqual(['i-2']);
    feed.remove('i-2', 2_000);
    expect(idsAfter(feed, 0)).toEqual([]);
    expect(feed.add(makeAnnouncement({ id: 'i-2', born: 2_000, seq: 9 }), 300)).toEqual('outdated');
  });

  it('drops a target without announcements for 20 s', () => {
    const feed = new AnnouncementFeed();
    feed.add(makeAnnouncement(), 100);
    feed.expire(20_101);
    expect(idsAfter(feed, 0)).toEqual([]);
  });
});
