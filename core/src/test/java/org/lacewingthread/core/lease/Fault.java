package org.lacewingthread.core.lease;

import java.util.List;
import java.util.Random;

/**
 * Fault that starts when it is injected and ends after a given time.
 *
 * @param kind kind of the fault
 * @param target index of the affected VM among the running ones, modulo their number
 * @param other index of the second VM of a one-way cut, modulo their number
 * @param lengthMillis duration of the fault
 */
record Fault(Kind kind, int target, int other, long lengthMillis) {
    /** Kind of a fault. */
    enum Kind {
        PAUSE {
            @Override
            void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis) {
                vm.pause(lengthMillis);
            }
        },
        STALLS {
            @Override
            void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis) {
                group.stallRatio = 0.01;
                end(group, lengthMillis, () -> group.stallRatio = 0);
            }
        },
        RESTART {
            @Override
            void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis) {
                group.stop(vm);
                end(group, lengthMillis, () -> group.start(vm.name, vm.clockRate));
            }
        },
        CUT_ONE_WAY {
            @Override
            void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis) {
                SimulatedGroup.Cut cut = new SimulatedGroup.Cut(vm.name, other.name);
                group.cuts.add(cut);
                end(group, lengthMillis, () -> group.cuts.remove(cut));
            }
        },
        ISOLATE {
            @Override
            void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis) {
                for (SimulatedVm peer : group.running()) {
                    CUT_ONE_WAY.begin(group, vm, peer, lengthMillis);
                    CUT_ONE_WAY.begin(group, peer, vm, lengthMillis);
                }
            }
        },
        LOSS {
            @Override
            void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis) {
                group.lossRatio = 0.3;
                end(group, lengthMillis, () -> group.lossRatio = 0);
            }
        },
        LOG_OUT {
            @Override
            void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis) {
                group.log.unavailable = true;
                end(group, lengthMillis, () -> group.log.unavailable = false);
            }
        },
        LOG_SLOW {
            @Override
            void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis) {
                group.log.slow = true;
                end(group, lengthMillis, () -> group.log.slow = false);
            }
        },
        APPENDS_LOST {
            @Override
            void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis) {
                group.log.lossRatio = 0.5;
                end(group, lengthMillis, () -> group.log.lossRatio = 0);
            }
        },
        CUT_FROM_LOG {
            @Override
            void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis) {
                group.vmsWithoutLogAccess.add(vm.name);
                end(group, lengthMillis, () -> group.vmsWithoutLogAccess.remove(vm.name));
            }
        };

        abstract void begin(SimulatedGroup group, SimulatedVm vm, SimulatedVm other, long lengthMillis);

        private static void end(SimulatedGroup group, long lengthMillis, Runnable clear) {
            group.schedule(lengthMillis * 1_000, clear);
        }
    }

    /** Injects the fault; without effect if no VM is running. */
    void begin(SimulatedGroup group) {
        List<SimulatedVm> running = group.running();
        if (running.isEmpty()) {
            return;
        }
        kind.begin(group, running.get(target % running.size()), running.get(other % running.size()), lengthMillis);
    }

    /** Returns a fault of random kind, targets and duration. */
    static Fault random(Random random) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        return new Fault(kind, random.nextInt(100), random.nextInt(100), 20 + random.nextInt(3_000));
    }
}
