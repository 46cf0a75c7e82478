import { expect } from "chai";
import { spawn } from "node:child_process";
import { once } from "node:events";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import { FolderLock } from "../index.js";

const module = new URL("../folderLock.ts", import.meta.url).href;
const lockingScript = `import(${JSON.stringify(module)}).then(async ({ FolderLock }) => {
    await FolderLock.create(process.argv[1]);
    console.log("locked");
    setInterval(() => undefined, 1_000);
});`;

describe("data folder lock", () => {
    it("excludes other processes, also by another path, and is released when its process is killed", async () => {
        // Guards against a lock that outlives its process, so that a crashed daemon can't restart until somebody removes
        // a file, and against two processes that use one folder because they were given different paths to it.
        const parent = await fs.mkdtemp(path.join(os.tmpdir(), "basilpaddle-lock-"));
        const folder = path.join(parent, "data");
        const other = path.join(parent, "other");
        const child = spawn(process.execPath, ["--import=tsx", "-e", lockingScript, folder], {
            stdio: ["ignore", "pipe", 2],
        });
        try {
            await once(child.stdout!, "data");
            await fs.symlink(folder, other);
            for (const name of [folder, other]) {
                const failure = await FolderLock.create(name).then(() => undefined, (error: unknown) => error);
                expect(String(failure)).to.include(`The data folder ${name} is in use by another process`);
            }
            child.kill("SIGKILL");
            await once(child, "exit");
            const lock = await FolderLock.create(folder);
            await lock.close();
            await (await FolderLock.create(other)).close();
        }
        finally {
            child.kill("SIGKILL");
            await fs.rm(parent, { recursive: true });
        }
    });
});
