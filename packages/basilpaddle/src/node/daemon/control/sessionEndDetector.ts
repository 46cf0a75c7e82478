import type { Command, CommandResult, View } from "../../protocol/index.js";

/** Detects applied commands that ended a session without its daemon having closed it. */
export class SessionEndDetector {
    private constructor(private sessions: View["sessions"]) {}

    static create(view: View): SessionEndDetector {
        return new SessionEndDetector(view.sessions);
    }

    /** Whether the applied command ended a session that its daemon didn't close itself; `view` is the view after the command. */
    endedUnexpectedly(command: Command, result: CommandResult, view: View): boolean {
        const earlierSessions = this.sessions;
        this.sessions = view.sessions;
        if (result.kind !== "done") {
            return false;
        }
        if (command.kind === "closeSession") {
            return command.reason !== "left";
        }
        if (command.kind === "openSession") {
            const earlierSession = earlierSessions[command.session.daemon]?.session;
            return earlierSession !== undefined && earlierSession.incarnation !== command.session.incarnation;
        }
        return false;
    }
}
