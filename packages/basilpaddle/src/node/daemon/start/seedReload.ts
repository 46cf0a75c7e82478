import { type Finding, type RoutingSettings, seedNames } from "../../protocol/index.js";
import type { Logger } from "../../utils/index.js";
import { parseRoutingSettings } from "./routingSettings.js";
import { readWhenWhole } from "./settingsFile.js";

/** Milliseconds between two looks whether the settings file has changed: it may without any signal. */
const reloadInterval = 2_000;

/** Keeps the seeds up to date with the settings file; whatever else changes takes a restart. */
export class SeedReload {
    private names: readonly string[];
    private text: string | undefined;
    private looking: Promise<void> | undefined;
    private isWhole = true;
    private readonly timer: NodeJS.Timeout;
    private readonly onSignal = (): void => void this.look(true);

    private constructor(settings: RoutingSettings, private readonly file: string, private readonly logger: Logger) {
        this.names = seedNames(settings);
        this.timer = setInterval(() => void this.look(false), reloadInterval);
        this.timer.unref();
        process.on("SIGHUP", this.onSignal);
    }

    static create(settings: RoutingSettings, file: string, logger: Logger): SeedReload {
        return new SeedReload(settings, file, logger);
    }

    seeds(): readonly string[] {
        return this.names;
    }

    close(): void {
        clearInterval(this.timer);
        process.off("SIGHUP", this.onSignal);
    }

    /** One look at a time; one that a signal asks for begins once the look before has ended. */
    private async look(signalled: boolean): Promise<void> {
        if (this.looking !== undefined && !signalled) {
            return;
        }
        const before = this.looking ?? Promise.resolve();
        const looking = before.then(() => this.read(signalled));
        this.looking = looking;
        await looking;
        if (this.looking === looking) {
            this.looking = undefined;
        }
    }

    /** Compares texts: two writings within one tick of the file system's clock bear the same time. */
    private async read(signalled: boolean): Promise<void> {
        const content = await readWhenWhole(this.file, finding => {
            if (this.isWhole) {
                this.logger.info("changed settings aren't whole yet; looked at again", { finding });
            }
            this.isWhole = false;
        });
        const text = content.orDefault("");
        if (!signalled && text === this.text) {
            return;
        }
        this.text = text;
        const read = content.mapLeft((finding): readonly Finding[] => [finding])
            .chain(whole => parseRoutingSettings(this.file, whole));
        read.caseOf<void>({
            Left: findings => {
                this.logger.error("changed settings can't be read; the old ones stay", { findings });
            },
            Right: settings => {
                this.isWhole = true;
                this.take(seedNames(settings), signalled);
            },
        });
    }

    private take(names: readonly string[], signalled: boolean): void {
        if (signalled || names.join() !== this.names.join()) {
            this.logger.info("settings were read again", { seeds: names, signalled });
        }
        this.names = names;
    }
}
