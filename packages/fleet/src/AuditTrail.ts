/** The audit trail: every proposed change with its result. Each record contains the hash of the previous one. */
import { createHash } from 'node:crypto';
import type { AuditRecord } from './changes.js';

/** Value of `previousHash` in the first record. */
export const FIRST_PREVIOUS_HASH = '0'.repeat(64);

type UnhashedRecord = Omit<AuditRecord, 'hash'>;

function hashOf(record: UnhashedRecord): string {
  const { sequence, revision, at, operator, changeId, changeKind, summary, result, previousHash } =
    record;
  const fields = [sequence, revision, at, operator, changeId, changeKind, summary, result];
  return createHash('sha256')
    .update(JSON.stringify([...fields, previousHash]))
    .digest('hex');
}

export type AuditVerification =
  | { readonly kind: 'intact'; readonly count: number; readonly headHash: string }
  | { readonly kind: 'broken'; readonly sequence: number; readonly reason: string };

/** Verifies the hash chain of consecutive records. `previousHash` is the hash that the first of them must refer to. */
export function verifyAudit(
  records: readonly AuditRecord[],
  previousHash = records[0]?.previousHash ?? FIRST_PREVIOUS_HASH,
): AuditVerification {
  const broken = records.findIndex((record, i) => {
    const expected = i === 0 ? previousHash : records[i - 1]!.hash;
    const isInOrder = i === 0 || record.sequence === records[i - 1]!.sequence + 1;
    return !isInOrder || record.previousHash !== expected || record.hash !== hashOf(record);
  });
  if (broken >= 0) {
    const { sequence } = records[broken]!;
    return { kind: 'broken', sequence, reason: `record ${sequence} does not match its hash chain` };
  }
  return { kind: 'intact', count: records.length, headHash: records.at(-1)?.hash ?? previousHash };
}

/** Appends records to the chain. */
export class AuditTrail {
  private readonly items: AuditRecord[];

  public constructor(items: readonly AuditRecord[] = []) {
    this.items = [...items];
  }

  public get records(): readonly AuditRecord[] {
    return this.items;
  }

  public append(record: Omit<AuditRecord, 'sequence' | 'previousHash' | 'hash'>): void {
    const unhashed = {
      sequence: this.items.length + 1,
      ...record,
      previousHash: this.items.at(-1)?.hash ?? FIRST_PREVIOUS_HASH,
    };
    this.items.push({ ...unhashed, hash: hashOf(unhashed) });
  }
}
