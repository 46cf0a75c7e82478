import { type Finding, type RoutingSettings, seedNames } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import { parseRoutingSettings } from "./routingSettings.js";
import { readWhenComplete } from "./settingsFile.js";

/** Interval at which the settings file is checked for changes, since it may change without a SIGHUP. */
const reloadIntervalMilliseconds = 2_000;

/** Keeps the seeds up to date with the settings file. Other changed settings need a restart. */
export class SeedReload {
    private currentSeeds: readonly string[];
    private lastText: string | undefined;
    private currentCheck: Promise<void> | undefined;
    private isComplete = true;
    private readonly timer: NodeJS.Timeout;
    private readonly onSignal = (): void => void this.checkFile(true);

    private constructor(settings: RoutingSettings, private readonly file: string, private readonly logger: Logger) {
        this.currentSeeds = seedNames(settings);
        this.timer = setInterval(() => void this.checkFile(false), reloadIntervalMilliseconds);
        this.timer.unref();
        process.on("SIGHUP", this.onSignal);
    }

    static create(settings: RoutingSettings, file: string, logger: Logger): SeedReload {
        return new SeedReload(settings, file, logger);
    }

    seeds(): readonly string[] {
        return this.currentSeeds;
    }

    close(): void {
        clearInterval(this.timer);
        process.off("SIGHUP", this.onSignal);
    }

    /** Runs one check at a time. A check requested by a signal starts after the current one; a periodic check is skipped. */
    private async checkFile(signalled: boolean): Promise<void> {
        if (this.currentCheck !== undefined && !signalled) {
            return;
        }
        const previous = this.currentCheck ?? Promise.resolve();
        const check = previous.then(() => this.read(signalled));
        this.currentCheck = check;
        await check;
        if (this.currentCheck === check) {
            this.currentCheck = undefined;
        }
    }

    /** Detects changes by comparing the text, since two writes within one tick of the file system's clock have the same modification time. */
    private async read(signalled: boolean): Promise<void> {
        const content = await readWhenComplete(this.file, finding => {
            if (this.isComplete) {
                this.logger.info("the changed settings file is incomplete; retrying", { finding });
            }
            this.isComplete = false;
        });
        const text = content.orDefault("");
        if (!signalled && text === this.lastText) {
            return;
        }
        this.lastText = text;
        const read = content.mapLeft((finding): readonly Finding[] => [finding])
            .chain(complete => parseRoutingSettings(this.file, complete));
        read.caseOf<void>({
            Left: findings => {
                this.logger.error("the changed settings are invalid; keeping the previous seeds", { findings });
            },
            Right: settings => {
                this.isComplete = true;
                this.applySeeds(seedNames(settings), signalled);
            },
        });
    }

    private applySeeds(seeds: readonly string[], signalled: boolean): void {
        if (signalled || seeds.join() !== this.currentSeeds.join()) {
            this.logger.info("seeds were reloaded from the settings file", { seeds, signalled });
        }
        this.currentSeeds = seeds;
    }
}
