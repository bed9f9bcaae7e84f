/** Commands for the audit trail. */
import { writeFileSync } from 'node:fs';
import { verifyAudit } from '@marigoldbank/fleet/AuditTrail';
import { auditRecordSchema, type AuditRecord } from '@marigoldbank/fleet/changes';
import { z } from 'zod';
import { CommandError } from '../CommandError.js';
import {
  CLIENT_ARGS,
  createClientContext,
  defineCliCommand,
  toWholeNumber,
  usageError,
} from '../define-command.js';
import type { OperatorClient } from '../OperatorClient.js';

const PAGE_SIZE = 500;
const DEFAULT_LIMIT = 20;

const recordsSchema = z.array(auditRecordSchema);

interface Page {
  readonly records: readonly AuditRecord[];
  readonly total: number;
}

async function fetchPage(client: OperatorClient, from: number, limit: number): Promise<Page> {
  const request = { fromSequence: BigInt(from), limit };
  const { value } = await client.callLeader((stub) => stub.audit(request));
  const json: unknown = JSON.parse(new TextDecoder().decode(value.records));
  return { records: recordsSchema.parse(json), total: Number(value.total) };
}

/** Reads all records page by page, including those added before the last page is read. */
async function fetchAll(client: OperatorClient): Promise<AuditRecord[]> {
  const records: AuditRecord[] = [];
  let total = 1;
  while (records.length < total) {
    const page = await fetchPage(client, records.length + 1, PAGE_SIZE);
    records.push(...page.records);
    total = page.records.length === 0 ? records.length : page.total;
  }
  return records;
}

/** Returns the last hash. Throws `auditBroken` unless the chain starts at record 1 and matches its hashes. */
function checkChain(records: readonly AuditRecord[]): string {
  const verification = verifyAudit(records);
  const isFromStart = records.length === 0 || records[0]?.sequence === 1;
  if (verification.kind === 'intact' && isFromStart) return verification.headHash;
  const message =
    verification.kind === 'broken' ? verification.reason : 'the audit trail does not start at 1';
  throw new CommandError({ kind: 'auditBroken', message });
}

const formatRecord = ({ sequence, at, operator, summary, result, revision }: AuditRecord): string =>
  `${sequence}  ${at}  ${operator}  revision ${revision}  ${result.kind}: ${summary}`;

export const auditListCommand = defineCliCommand({
  name: 'list',
  description: 'Show the newest records of the audit trail, or those from a sequence number on',
  examples: ['audit list', 'audit list --from 100 --limit 50'],
  args: {
    from: { type: 'string', description: 'First sequence number', valueHint: 'n' },
    limit: {
      type: 'string',
      default: String(DEFAULT_LIMIT),
      description: 'Largest number of records',
      valueHint: 'n',
    },
    ...CLIENT_ARGS,
  },
  run: async (args, io) => {
    const { client } = createClientContext(args, io);
    const limit = toWholeNumber('limit', args.limit) ?? DEFAULT_LIMIT;
    if (limit < 1 || limit > PAGE_SIZE) throw usageError(`--limit: expected 1 to ${PAGE_SIZE}`);
    const from = toWholeNumber('from', args.from);
    const { total } = await fetchPage(client, 1, 1);
    const start = from ?? Math.max(1, total - limit + 1);
    const { records } = await fetchPage(client, start, limit);
    const lines = records.map(formatRecord);
    return {
      outcome: 'inForce',
      json: { total, records },
      lines: lines.length === 0 ? ['no records'] : lines,
    };
  },
});

export const auditVerifyCommand = defineCliCommand({
  name: 'verify',
  description: 'Check that every record of the audit trail matches its hash and the one before',
  examples: ['audit verify', 'audit verify --head <hash noted earlier>'],
  args: {
    head: {
      type: 'string',
      description: 'Hash noted earlier, which must be one of the records',
      valueHint: 'hash',
    },
    ...CLIENT_ARGS,
  },
  run: async (args, io) => {
    const records = await fetchAll(createClientContext(args, io).client);
    const headHash = checkChain(records);
    if (args.head !== undefined && !records.some(({ hash }) => hash === args.head)) {
      const message = 'no record has the hash noted earlier: the trail was replaced';
      throw new CommandError({ kind: 'auditBroken', message });
    }
    return {
      outcome: 'inForce',
      json: { count: records.length, headHash },
      lines: [`${records.length} records match; newest hash ${headHash}`],
    };
  },
});

export const auditExportCommand = defineCliCommand({
  name: 'export',
  description: 'Write the whole audit trail to a file, one JSON record a line, after checking it',
  examples: ['audit export audit.jsonl'],
  args: {
    file: { type: 'positional', required: true, description: 'File to write; must not exist' },
    ...CLIENT_ARGS,
  },
  run: async (args, io) => {
    const records = await fetchAll(createClientContext(args, io).client);
    const headHash = checkChain(records);
    const text = records.map((record) => `${JSON.stringify(record)}\n`).join('');
    try {
      writeFileSync(args.file, text, { flag: 'wx' });
    } catch (err) {
      throw usageError(`${args.file} cannot be written (${(err as NodeJS.ErrnoException).code})`);
    }
    return {
      outcome: 'inForce',
      json: { count: records.length, headHash, file: args.file },
      lines: [`${records.length} records written to ${args.file}`],
    };
  },
});
