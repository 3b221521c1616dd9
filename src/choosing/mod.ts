/**
 * Policies for choosing a backend server. Importing this module registers every
 * policy.
 * @module
 */
import "./baselines.ts";
import "./expected_wait.ts";

export {
  type Candidate,
  createPolicy,
  type Demand,
  type Policy,
  policyNames,
} from "./policy.ts";
export { sample } from "./sample.ts";
