/** Admission under load: which requests wait, in which order, and when refused ones should retry. */
export type * from "./types.js";
export { createAdmissionQueue } from "./admissionQueue.js";
export type { AdmissionQueue, AdmissionQueueOptions } from "./admissionQueue.js";
export { createFairShares } from "./fairShares.js";
export type { FairShares, FairSharesOptions, Usage } from "./fairShares.js";
