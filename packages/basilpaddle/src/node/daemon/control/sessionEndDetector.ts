import type { Command, CommandResult, View } from "../../protocol/index.js";

/** Detects which applied commands ended a session that its daemon hadn't closed itself. */
export class SessionEndDetector {
    private constructor(private sessions: View["sessions"]) {}

    static create(view: View): SessionEndDetector {
        return new SessionEndDetector(view.sessions);
    }

    /** Whether an applied command ended a session in this way; `view` is the view after the command. */
    endedUnannounced(command: Command, result: CommandResult, view: View): boolean {
        const before = this.sessions;
        this.sessions = view.sessions;
        if (result.kind !== "done") {
            return false;
        }
        if (command.kind === "closeSession") {
            return command.reason !== "left";
        }
        if (command.kind === "openSession") {
            const earlier = before[command.session.daemon]?.session;
            return earlier !== undefined && earlier.incarnation !== command.session.incarnation;
        }
        return false;
    }
}
