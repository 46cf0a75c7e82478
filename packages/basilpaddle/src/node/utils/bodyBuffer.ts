/** Estimated bytes of a buffer on the heap and in the allocator, beside its payload. */
const bufferOverheadBytes = 256;
/** A part of at least this many bytes is kept as it is; shorter ones are copied together. */
const minPartBytes = 4_096;
/** Bytes of the first and of the largest buffer that short parts are copied into. */
const firstBlockBytes = 1_024;
const maxBlockBytes = 65_536;

/** Collects the parts of a body, so that what it holds follows its bytes, however small the parts are. */
export class BodyBuffer {
    /** Bytes of the body. */
    length = 0;
    /** Bytes that are held for it. */
    heldBytes = 0;
    private readonly parts: Buffer[] = [];
    private block: Buffer | undefined;
    private blockLength = 0;

    static create(): BodyBuffer {
        return new BodyBuffer();
    }

    /** Bytes that would be held beside those held now if that part were added. */
    costOf(part: Buffer): number {
        if (part.length >= minPartBytes) {
            return part.length + bufferOverheadBytes;
        }
        const room = this.block === undefined ? 0 : this.block.length - this.blockLength;
        return part.length <= room ? 0 : this.nextBlockBytes(part.length - room) + bufferOverheadBytes;
    }

    /** Adds a part. */
    add(part: Buffer): void {
        this.heldBytes += this.costOf(part);
        this.copyOrKeep(part);
        this.length += part.length;
    }

    /** The whole body. */
    whole(): Buffer {
        this.endBlock();
        return this.parts.length === 1 ? this.parts[0]! : Buffer.concat(this.parts, this.length);
    }

    private copyOrKeep(part: Buffer): void {
        if (part.length >= minPartBytes) {
            this.endBlock();
            this.parts.push(part);
            return;
        }
        const copied = this.block === undefined ? 0 : part.copy(this.block, this.blockLength);
        this.blockLength += copied;
        if (copied < part.length) {
            const rest = part.subarray(copied);
            const bytes = this.nextBlockBytes(rest.length);
            this.endBlock();
            this.block = Buffer.allocUnsafeSlow(bytes);
            this.blockLength = rest.copy(this.block);
        }
    }

    private nextBlockBytes(wanted: number): number {
        const doubled = this.block === undefined ? firstBlockBytes : this.block.length * 2;
        // No more than the body has had: what is held stays below twice its bytes.
        const most = Math.min(maxBlockBytes, Math.max(firstBlockBytes, this.length));
        return Math.max(wanted, Math.min(most, doubled));
    }

    private endBlock(): void {
        if (this.block !== undefined) {
            this.parts.push(this.block.subarray(0, this.blockLength));
            this.block = undefined;
            this.blockLength = 0;
        }
    }
}
