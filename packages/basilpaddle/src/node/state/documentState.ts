import { decode, encode } from "cbor-x";
import { z } from "zod";
import type { Command, CommandResult } from "../protocol/index.js";
import { StateMachine } from "./stateMachine.js";

/** A whole document under the number that its author gave it; `version` is -1 before the first. */
export type StoredDocument = { readonly version: number; readonly content: string; };

const noDocument: StoredDocument = { version: -1, content: "" };
const snapshotSchema = z.object({ version: z.int(), content: z.string() });

/**
 * The replicated state of a group that keeps one document, where the highest version wins. The first content under a
 * version stays: a second author's other content under the same number, or an old change that arrives again, changes
 * nothing and is answered as done.
 */
export class DocumentState extends StateMachine {
    private document = noDocument;
    private readonly listeners = new Set<(document: StoredDocument) => void>();

    static create(): DocumentState {
        return new DocumentState();
    }

    override apply(index: number, command: Command): CommandResult {
        if (command.kind !== "storeDocument") {
            return { kind: "stale", reason: `a group that keeps a document knows no ${command.kind}` };
        }
        if (command.version > this.document.version) {
            this.take({ version: command.version, content: command.content });
        }
        return { kind: "done", index };
    }

    override snapshot(): Uint8Array {
        return Uint8Array.from(encode(this.document));
    }

    override restore(snapshot: Uint8Array): void {
        this.take(snapshotSchema.parse(decode(snapshot)));
    }

    /** The newest document that is known to be committed. */
    current(): StoredDocument {
        return this.document;
    }

    /** Calls the listener with each new document; the returned function takes it off. */
    onChange(listener: (document: StoredDocument) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private take(document: StoredDocument): void {
        this.document = document;
        this.listeners.forEach(listener => listener(document));
    }
}
