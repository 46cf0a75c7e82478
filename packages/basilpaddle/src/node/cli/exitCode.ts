/** Exit codes of the commands. */
export const exitCodes = {
    /** The command succeeded. */
    done: 0,
    /** Any failure without an exit code of its own. */
    failed: 1,
    /** The command line, the settings or the configuration have findings; nothing was sent. */
    findings: 2,
    /** Another operator's change came first; nothing was changed. */
    conflict: 3,
    /** The daemon or the control daemons couldn't be reached; nothing was changed. */
    unreachable: 4,
    /** The answer was lost, so the change may or may not have been accepted. Repeating the same command is idempotent. */
    undecided: 5,
    /** The daemon refused: the named object doesn't exist. */
    refused: 6,
    /** A daemon received a second stop signal and aborted requests. */
    cutOff: 7,
} as const;

/** Exit code of a command. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** Sets the exit code of the command that ran. */
export type ExitCodeCallback = (code: ExitCode) => void;

/** The list of exit codes in the help. */
export const exitCodeHelp = `Exit codes:
  0  done
  1  failed for any other reason
  2  findings in the command line, the settings or the configuration; nothing was sent
  3  conflict: another operator's change came first; nothing was changed
  4  no daemon could be reached; nothing was changed
  5  undecided: the answer was lost; repeating the same command is idempotent
  6  refused: the deployment doesn't know the named object
  7  a daemon received a second stop signal and aborted requests`;
