package org.lacewingthread.core.lease;

import java.util.List;
import java.util.Random;

/** Faults that begin at some time and mend themselves after a while. */
record Fault(Kind kind, int target, int other, long lengthMillis) {
    /** What fails. */
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

        private static void end(SimulatedGroup group, long lengthMillis, Runnable mend) {
            group.schedule(lengthMillis * 1_000, mend);
        }
    }

    void begin(SimulatedGroup group) {
        List<SimulatedVm> running = group.running();
        if (running.isEmpty()) {
            return;
        }
        kind.begin(group, running.get(target % running.size()), running.get(other % running.size()), lengthMillis);
    }

    static Fault random(Random random) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        return new Fault(kind, random.nextInt(100), random.nextInt(100), 20 + random.nextInt(3_000));
    }
}
