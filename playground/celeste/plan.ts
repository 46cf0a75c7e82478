import type { DeploymentPlan } from "../harness/index.js";

/** The model of the drafting pool. */
export const model = "celeste-draft";
const models = [{ name: model, version: "2026-11", adapters: ["arrears"] }];
const failureDomains = ["ciudad-vieja", "pocitos", "carrasco"] as const;

/** A deployment with the structure of Celeste's and fewer copies. */
export const celeste: DeploymentPlan = { cluster: "celeste", failureDomains, controls: 3, entries: 4 };

/** Engine stand-ins: one prefill engine in each failure domain, and four decode engines. */
export const engines = [
    ...failureDomains.map((failureDomain, index) => ({
        id: `prefill-${index + 1}`,
        role: "prefill",
        failureDomain,
    })),
    ...[...failureDomains, failureDomains[0]].map((failureDomain, index) => ({
        id: `decode-${index + 1}`,
        role: "decode",
        failureDomain,
    })),
].map(engine => ({ ...engine, pool: "drafting", models, tokenTime: 20, promptTokenTime: 0.25 }));

/** Stand-ins for the policy service that the agents use. */
export const services = failureDomains.map((failureDomain, index) => ({
    id: `policy-${index + 1}`,
    service: "policy",
    failureDomain,
}));
