/** Processor time that a log process spends on the bytes of the log entries that it sends, receives and applies. */
import type { Clock } from '@marigoldbank/base/clock';
import { entryBytes, type ConsensusTransport } from '@marigoldbank/replicated-log';
import { FakeProcessor, type MessageHandler } from '@marigoldbank/replicated-log/testing';
import type { Command } from '../control/commands.js';
import { CostlyTransport } from './CostlyTransport.js';

const BYTES_PER_MB = 1_000_000;

export interface ByteCosts {
  /** Share of a core that the log process has. */
  readonly share: number;
  /** Milliseconds of a whole core for each megabyte of entries. */
  readonly sendMs: number;
  readonly receiveMs: number;
  /** The same for each megabyte of a document that takes effect. */
  readonly applyMs: number;
}

export const FREE_BYTES: ByteCosts = { share: 1, sendMs: 0, receiveMs: 0, applyMs: 0 };

export class MessageBytes {
  private readonly processor: FakeProcessor;

  private sent = 0;

  public constructor(
    clock: Clock,
    private readonly costs: ByteCosts,
  ) {
    this.processor = new FakeProcessor(clock, () => costs.share);
  }

  /** Bytes of entries that were sent to other members. */
  public get sentBytes(): number {
    return this.sent;
  }

  public transport(inner: ConsensusTransport): ConsensusTransport {
    return new CostlyTransport(
      inner,
      (bytes) => this.spend(bytes, this.costs.sendMs),
      (bytes) => {
        this.sent += bytes;
      },
    );
  }

  /** The messages to a log, handled once the process has read them. */
  public handler(log: MessageHandler): MessageHandler {
    return {
      handleRequestVote: (req) => log.handleRequestVote(req),
      handleAppendEntries: async (req) => {
        await this.spend(entryBytes(req.entries), this.costs.receiveMs);
        return log.handleAppendEntries(req);
      },
      handleInstallSnapshot: async (req) => {
        await this.spend(req.chunk.length, this.costs.receiveMs);
        return log.handleInstallSnapshot(req);
      },
    };
  }

  /** Occupies the process with a command that it has applied, also if that was compressed. */
  public apply(command: Command | undefined): void {
    if (command?.kind !== 'putPlan') return;
    this.spend(command.document.length, this.costs.applyMs).catch(() => undefined);
  }

  /** All work of the process goes through one queue, so that heartbeats wait behind large entries. */
  private spend(bytes: number, msPerMb: number): Promise<void> {
    if (msPerMb === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.processor.run((bytes / BYTES_PER_MB) * msPerMb, resolve);
    });
  }
}
