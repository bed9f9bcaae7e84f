import { describe, it } from 'node:test';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import type { MessageShape, DescMessage, MessageInitShape } from '@bufbuild/protobuf';
import type { Announcement, CoordinateRequest, CoordinateResponse } from '@marigoldbank/ejection';
import {
  BorrowRequestSchema,
  ClaimResponseSchema,
  CoordinateRequestSchema,
  CoordinateResponseSchema,
  RecoverClaimsResponseSchema,
} from '@marigoldbank/protocol/gen/marigoldbank/v1/peer_pb';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  fromBorrowRequest,
  fromClaimResponse,
  fromCoordinateRequest,
  fromCoordinateResponse,
  fromRecoverResponse,
  toBorrowRequest,
  toClaimResponse,
  toCoordinateRequest,
  toCoordinateResponse,
  toRecoverResponse,
} from './peer-codec.js';

const SEED = 20_261_204;

const uint32 = fc.integer({ min: 0, max: 0xffffffff });

const uint53 = fc.maxSafeNat();

const text = fc.string({ unit: 'grapheme', maxLength: 20 });

const announcement: fc.Arbitrary<Announcement> = fc.record({
  service: text,
  target: text,
  address: text,
  dataCentre: text,
  incarnation: uint53,
  sequence: uint53,
  state: fc.constantFrom('up' as const, 'draining' as const, 'leaving' as const),
  slots: uint32,
  maxConnections: uint32,
  isCold: fc.boolean(),
  ageMs: uint32,
});

const coordinateRequest: fc.Arbitrary<CoordinateRequest> = fc.record({
  from: text,
  service: text,
  revision: uint53,
  digests: fc.array(
    fc.record({
      target: text,
      succeeded: uint32,
      failed: uint32,
      shed: uint32,
      outstanding: uint32,
      latencyBuckets: fc.array(uint32),
    }),
  ),
  lost: fc.array(fc.record({ fingerprint: text, target: text })),
  cleared: fc.array(text),
});

const coordinateResponse: fc.Arbitrary<CoordinateResponse> = fc.record({
  targets: fc.array(
    fc.record({
      announcement,
      status: fc.constantFrom('inRotation' as const, 'ejected' as const, 'probation' as const),
      share: fc.integer({ min: 0, max: 1_000 }).map((perMille) => perMille / 1_000),
      fleetOutstanding: uint32,
      reason: text,
    }),
  ),
  suspectedReporters: fc.array(text),
  quarantined: fc.array(text),
  suspectedFingerprints: fc.array(text),
});

const claimRecord = fc.record({
  team: text,
  key: text,
  owner: text,
  claimId: text,
  fingerprint: text,
  state: fc.constantFrom('pending' as const, 'done' as const, 'released' as const),
  outcome: fc.option(fc.uint8Array({ minLength: 1, maxLength: 50 }), { nil: undefined }),
  ageMs: uint32,
});

const incarnations = fc.array(fc.record({ vm: text, incarnation: uint53 }));

const claimResponse = fc.record({
  result: fc.constantFrom(
    'granted' as const,
    'taken' as const,
    'recovering' as const,
    'wrongEpoch' as const,
  ),
  existing: fc.option(claimRecord, { nil: undefined }),
  holder: text,
  incarnations,
  viewEpoch: uint53,
});

const recoverResponse = fc.record({
  records: fc.array(claimRecord),
  shards: fc.array(
    fc.record(
      { shard: uint32, viewEpoch: uint53, handsOverFrom: uint53 },
      { requiredKeys: ['shard', 'viewEpoch'] },
    ),
  ),
  incarnations,
});

const borrowRequest = fc.record({
  from: text,
  viewEpoch: uint53,
  items: fc.array(fc.record({ team: text, wanted: uint32, urgent: uint32 })),
  reports: fc.array(fc.record({ team: text, loan: text, used: uint32, returned: uint32 })),
});

/** Encodes a value to the wire format and decodes it again. */
function roundTrip<S extends DescMessage>(schema: S, init: MessageInitShape<S>): MessageShape<S> {
  return fromBinary(schema, toBinary(schema, create(schema, init)));
}

/** Converts a message to plain JSON, without the `$` fields that protobuf adds. */
function plain(value: unknown): unknown {
  return JSON.parse(
    JSON.stringify(value, (name, item: unknown) => (name.startsWith('$') ? undefined : item)),
  );
}

function expectSame(received: unknown, sent: unknown): void {
  expect(plain(received)).toEqual(plain(sent));
}

describe('messages between entries', () => {
  const run = <T>(arbitrary: fc.Arbitrary<T>, check: (value: T) => void): void =>
    fc.assert(fc.property(arbitrary, check), { seed: SEED });

  it('keep their content through encoding and decoding: no field is dropped, cut or mixed up', () => {
    run(coordinateRequest, (sent) => {
      const message = roundTrip(CoordinateRequestSchema, fromCoordinateRequest(sent));
      expectSame(toCoordinateRequest(message), sent);
    });
    run(coordinateResponse, (sent) => {
      const message = roundTrip(CoordinateResponseSchema, fromCoordinateResponse(sent));
      expectSame(toCoordinateResponse(message), sent);
    });
    run(borrowRequest, (sent) => {
      expectSame(toBorrowRequest(roundTrip(BorrowRequestSchema, fromBorrowRequest(sent))), sent);
    });
    run(claimResponse, (sent) => {
      expectSame(toClaimResponse(roundTrip(ClaimResponseSchema, fromClaimResponse(sent))), sent);
    });
    run(recoverResponse, (sent) => {
      const message = roundTrip(RecoverClaimsResponseSchema, fromRecoverResponse(sent));
      expectSame(toRecoverResponse(message), sent);
    });
  });

  it('never make an announcement appear younger than it is', () => {
    run(
      fc.tuple(coordinateResponse, fc.double({ min: 0, max: 1e6, noNaN: true })),
      ([res, age]) => {
        const targets = res.targets.map((target) => ({
          ...target,
          announcement: { ...target.announcement, ageMs: age },
        }));
        const message = roundTrip(
          CoordinateResponseSchema,
          fromCoordinateResponse({ ...res, targets }),
        );
        const received = toCoordinateResponse(message).targets;
        expect(received.every((target) => target.announcement.ageMs >= age)).toEqual(true);
      },
    );
  });

  it('are rejected with an error when they contain an unknown enum value', () => {
    const message = roundTrip(ClaimResponseSchema, { result: 'maybe' });
    expect(() => toClaimResponse(message)).toThrow('unknown claim result: maybe');
  });
});
