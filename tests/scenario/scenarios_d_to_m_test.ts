import { testScenarios } from "./scenarios.ts";

testScenarios("d", "m");
