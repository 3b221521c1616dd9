import { testScenarios } from "./scenarios.ts";

testScenarios("a", "b");
