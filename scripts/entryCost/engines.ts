import { FakeEngine } from "../../playground/standins/fakeEngine.js";

// Runs a prefill and a decode engine in one process. The argument is the decode engine's time per token in milliseconds.
const common = { pool: "drafting", models: [{ name: "draft", version: "1" }], slots: 1_000 };
const prefill = await FakeEngine.create({ ...common, id: "p", role: "prefill", promptTokenTime: 0 });
const decode = await FakeEngine.create({ ...common, id: "d", role: "decode", tokenTime: Number(process.argv[2]) });
process.on("disconnect", () => process.exit(0));
process.send?.({ prefill: prefill.url, decode: decode.url });
