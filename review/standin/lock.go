package standin

import "runtime"

// runtimeLock keeps the calling goroutine on its thread.
func runtimeLock() { runtime.LockOSThread() }
