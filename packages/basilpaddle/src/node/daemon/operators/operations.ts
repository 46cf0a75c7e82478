import type { OperatorAnswer, OperatorRequest } from "./operatorWire.js";

/** Carries out operators' requests. */
export abstract class Operations {
    /** Answers within about `timeout` milliseconds. Failures outside this process are answered, never thrown. */
    abstract handle(request: OperatorRequest, timeout: number): Promise<OperatorAnswer>;
}
