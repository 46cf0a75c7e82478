#!/usr/bin/env node
import { main } from "../dist/node/cli/main.js";

await main(process.argv.slice(2));
