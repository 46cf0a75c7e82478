import { type Either, Left, Right } from "purify-ts";
import type { z } from "zod";
import {
    type ChatRequest,
    chatRequestSchema,
    completionRequestSchema,
    type Declaration,
    defaultMaxTokens,
    type Generation,
    type Pool,
    type Refusal,
    type Route,
} from "../../protocol/index.js";
import { notRun } from "./reply.js";

/** The two request formats of the model API. */
export type ModelForm = "chat" | "completion";

/** A validated model request. */
export type ModelRequest = {
    readonly form: ModelForm;
    /** As named by the caller, with the adapter if there is one. */
    readonly model: string;
    readonly stream: boolean;
    readonly includeUsage: boolean;
    readonly prompt: string;
    readonly maxTokens: number;
    readonly sampling: Readonly<Record<string, unknown>>;
};

/** The pool, route, model and adapter that the configuration assigns to a model request. */
export type ModelTarget = {
    readonly poolName: string;
    readonly pool: Pool;
    readonly route: Route | undefined;
    readonly model: string;
    readonly adapter: string | undefined;
};

/** Fields that the entry daemon handles itself; all others are sampling parameters. */
const handledFields = new Set([
    "model",
    "messages",
    "prompt",
    "stream",
    "stream_options",
    "max_tokens",
    "max_completion_tokens",
    "n",
    "user",
]);

/** Validates a body against the schema of its format. */
export function readModelRequest(form: ModelForm, body: unknown): Either<Refusal, ModelRequest> {
    if (form === "chat") {
        const chat = chatRequestSchema.safeParse(body);
        if (!chat.success) {
            return Left(validationRefusal(chat.error));
        }
        const maxTokens = chat.data.max_completion_tokens ?? chat.data.max_tokens ?? defaultMaxTokens;
        return Right(buildModelRequest(form, chat.data, renderPrompt(chat.data.messages), maxTokens));
    }
    const completion = completionRequestSchema.safeParse(body);
    if (!completion.success) {
        return Left(validationRefusal(completion.error));
    }
    return Right(
        buildModelRequest(
            form,
            completion.data,
            completion.data.prompt,
            completion.data.max_tokens ?? defaultMaxTokens,
        ),
    );
}

/** Finds the pool that serves the model, and the first matching route. */
export function findTarget(
    declaration: Declaration,
    organisation: string,
    requestedModel: string,
): Either<Refusal, ModelTarget> {
    const [model, adapter] = requestedModel.split(":", 2) as [string, string | undefined];
    for (const [poolName, pool] of Object.entries(declaration.pools)) {
        const served = pool.models.find(candidate => candidate.name === model);
        if (served !== undefined && (adapter === undefined || served.adapters.includes(adapter))) {
            const route = declaration.routes.find(candidate =>
                (candidate.model ?? model) === model && (candidate.organisation ?? organisation) === organisation
            );
            return Right({ poolName, pool, route, model, adapter });
        }
    }
    return Left(notRun("unknownModel", `no pool serves the model ${JSON.stringify(requestedModel)}`));
}

/** Builds the generation parameters that the engines receive. */
export function generationOf(request: ModelRequest, target: ModelTarget): Generation {
    return {
        model: target.model,
        adapter: target.adapter,
        prompt: request.prompt,
        maxTokens: request.maxTokens,
        priority: target.route?.priority ?? 100,
        sampling: { ...request.sampling },
    };
}

function buildModelRequest(
    form: ModelForm,
    fields: Pick<ChatRequest, "model" | "stream" | "stream_options">,
    prompt: string,
    maxTokens: number,
): ModelRequest {
    return {
        form,
        model: fields.model,
        stream: fields.stream === true,
        includeUsage: fields.stream_options?.include_usage === true,
        prompt,
        maxTokens,
        sampling: Object.fromEntries(
            Object.entries(fields).filter(([name, value]) =>
                !handledFields.has(name) && (value ?? undefined) !== undefined
            ),
        ),
    };
}

function renderPrompt(messages: ChatRequest["messages"]): string {
    const texts = messages.map(({ role, content }) => {
        const text = typeof content === "string" ? content : content.map(part => part.text).join("");
        return `<|${role}|>\n${text}\n`;
    });
    return `${texts.join("")}<|assistant|>\n`;
}

function validationRefusal(error: z.ZodError): Refusal {
    const causes = error.issues.slice(0, 5).map(issue => `${issue.path.join(".") || "body"}: ${issue.message}`);
    return notRun("badRequest", causes.join("; "));
}
