/**
 * Collects the pieces of a body without keeping them: each is a view of a whole read, and a peer that sends chunks of one byte
 * makes tens of thousands of them. The memory held is at most twice the bytes collected, and a block.
 */

const FIRST_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 65_536;

export class ByteCollector {
  private blocks: Buffer[] = [];

  private current = Buffer.alloc(0);

  private used = 0;

  private total = 0;

  /** Number of bytes collected. */
  public get size(): number {
    return this.total;
  }

  /** Copies a piece. */
  public add(piece: Buffer): void {
    let offset = 0;
    while (offset < piece.length) {
      if (this.used === this.current.length) this.addBlock();
      const copied = piece.copy(this.current, this.used, offset);
      this.used += copied;
      offset += copied;
    }
    this.total += piece.length;
  }

  /** Returns what was collected, in blocks, and starts anew. */
  public take(): Buffer[] {
    const rest = this.used === 0 ? [] : [this.current.subarray(0, this.used)];
    const taken = [...this.blocks, ...rest];
    this.blocks = [];
    this.current = Buffer.alloc(0);
    this.used = 0;
    this.total = 0;
    return taken;
  }

  /** Blocks grow with what was collected, so that small bodies cost little. */
  private addBlock(): void {
    if (this.used > 0) this.blocks.push(this.current);
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BLOCK_BYTES, this.total));
    this.current = Buffer.allocUnsafeSlow(bytes);
    this.used = 0;
  }
}
