/** Commands for keys. */
import { createHash, randomBytes, randomInt } from 'node:crypto';
import {
  CHANGE_ARGS,
  CLIENT_ARGS,
  createClientContext,
  defineCliCommand,
} from '../define-command.js';
import { submitChange } from '../submit-change.js';

const SECRET_BYTES = 32;
const KEY_ID_LENGTH = 10;
const KEY_ID_ALPHABET = 'abcdefghijklmnopqrstuvwxyz0123456789';

function randomKeyId(): string {
  const letters = Array.from(
    { length: KEY_ID_LENGTH },
    () => KEY_ID_ALPHABET[randomInt(KEY_ID_ALPHABET.length)],
  );
  return letters.join('');
}

export const keyIssueCommand = defineCliCommand({
  name: 'issue',
  description: 'Make a key for a team; it is shown once and only its SHA-256 is sent',
  examples: ['key issue hotel-muscat', 'key issue hotel-muscat --key-id hotel2026'],
  args: {
    team: { type: 'positional', required: true, description: 'Team that the key is for' },
    'key-id': {
      type: 'string',
      description: 'Id of the key (default: random)',
      valueHint: 'id',
    },
    ...CLIENT_ARGS,
    timeout: CHANGE_ARGS.timeout,
  },
  run: async (args, io) => {
    const context = createClientContext(args, io);
    const keyId = args['key-id'] ?? randomKeyId();
    const secret = randomBytes(SECRET_BYTES).toString('base64url');
    const hash = createHash('sha256').update(secret).digest('hex');
    const { team } = args;
    io.writeStderr(`key id ${keyId}; if the outcome stays unknown, withdraw it and issue another`);
    // A second run makes another secret, so it must not reuse the change id.
    const body = { kind: 'issueKey', team, keyId, hash } as const;
    const submitted = await submitChange(context, body, { timeout: args.timeout }, io);
    const key = `mb_${keyId}_${secret}`;
    return {
      ...submitted,
      json: { ...submitted.json, team, keyId, key },
      lines: [
        ...submitted.lines,
        `key of team ${team}, shown only now: ${key}`,
        'the id was added to the list of the teams: pull before the next apply',
      ],
    };
  },
});

export const keyWithdrawCommand = defineCliCommand({
  name: 'withdraw',
  description: 'Withdraw a key; it stops working within 3 s after the change is accepted',
  examples: ['key withdraw hotel2026'],
  args: {
    'key-id': {
      type: 'positional',
      required: true,
      description: 'Id of the key, the part after mb_',
    },
    ...CHANGE_ARGS,
  },
  run: (args, io) => {
    const body = { kind: 'withdrawKey', keyId: args['key-id'] } as const;
    return submitChange(createClientContext(args, io), body, args, io);
  },
});
