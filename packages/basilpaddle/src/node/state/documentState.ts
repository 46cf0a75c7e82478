import { decode, encode } from "cbor-x";
import { z } from "zod";
import type { Command, CommandResult } from "../protocol/index.js";
import { StateMachine } from "./stateMachine.js";

/** A document and the version that its author gave it; `version` is -1 before the first document. */
export type StoredDocument = { readonly version: number; readonly content: string; };

const initialDocument: StoredDocument = { version: -1, content: "" };
const snapshotSchema = z.object({ version: z.int(), content: z.string() });

/**
 * The replicated state of a group that stores one document; the highest version wins. The first content stored under a
 * version is kept: different content with the same version, or a late copy of an older change, changes nothing, and its
 * result is `done`.
 */
export class DocumentState extends StateMachine {
    private document = initialDocument;
    private readonly listeners = new Set<(document: StoredDocument) => void>();

    static create(): DocumentState {
        return new DocumentState();
    }

    override apply(index: number, command: Command): CommandResult {
        if (command.kind !== "storeDocument") {
            return {
                kind: "stale",
                reason: `a group that stores a document doesn't support the command ${command.kind}`,
            };
        }
        if (command.version > this.document.version) {
            this.setDocument({ version: command.version, content: command.content });
        }
        return { kind: "done", index };
    }

    override snapshot(): Uint8Array {
        return Uint8Array.from(encode(this.document));
    }

    override restore(snapshot: Uint8Array): void {
        this.setDocument(snapshotSchema.parse(decode(snapshot)));
    }

    /** The latest document known to be committed. */
    current(): StoredDocument {
        return this.document;
    }

    /** Calls the listener with each new document; the returned function unsubscribes it. */
    onChange(listener: (document: StoredDocument) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private setDocument(document: StoredDocument): void {
        this.document = document;
        this.listeners.forEach(listener => listener(document));
    }
}
