import { testScenarios } from "./scenarios.ts";

testScenarios("n", "n");
