/** Copy of the configuration on the disk of an entry, with a hash that detects damage. */
import { createHash } from 'node:crypto';
import { open, mkdir, readFile, rename } from 'node:fs/promises';
import path from 'node:path';
import { fleetConfigSchema, type FleetConfig } from '@marigoldbank/fleet/config';

const FILE_NAME = 'entry-config.json';

const HASH_LENGTH = 64;

function hashOf(content: string): string {
  return createHash('sha256').update(content).digest('hex');
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/**
 * Result of loading the copy. A damaged copy is reported and otherwise treated like an absent one, since control or the
 * peers can provide the configuration.
 */
export type LoadedCopy =
  | { readonly kind: 'loaded'; readonly config: FleetConfig }
  | { readonly kind: 'absent' }
  | { readonly kind: 'damaged'; readonly file: string };

export class ConfigCopy {
  private readonly file: string;

  public constructor(private readonly folder: string) {
    this.file = path.join(folder, FILE_NAME);
  }

  public async load(): Promise<LoadedCopy> {
    let text: string;
    try {
      text = await readFile(this.file, 'utf8');
    } catch {
      return { kind: 'absent' };
    }
    return this.parse(text);
  }

  /** Replaces the copy atomically. Resolves once it is synced to disk. */
  public async save(config: FleetConfig): Promise<void> {
    const content = JSON.stringify(config);
    const temporary = `${this.file}.tmp`;
    await mkdir(this.folder, { recursive: true });
    const handle = await open(temporary, 'w');
    try {
      await handle.writeFile(`${hashOf(content)}\n${content}`);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await rename(temporary, this.file);
    await syncFolder(this.folder);
  }

  private parse(text: string): LoadedCopy {
    const content = text.slice(HASH_LENGTH + 1);
    if (text.slice(0, HASH_LENGTH) !== hashOf(content)) {
      return { kind: 'damaged', file: this.file };
    }
    const parsed = fleetConfigSchema.safeParse(JSON.parse(content));
    return parsed.success
      ? { kind: 'loaded', config: parsed.data }
      : { kind: 'damaged', file: this.file };
  }
}
